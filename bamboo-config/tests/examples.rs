//! Checks that the daemon accepts the example deployments.

use bamboo_config::Resource;
use bamboo_config::ResourceKind;
use bamboo_config::parse_settings;
use bamboo_config::validate_resource;
use test_case::test_case;

#[derive(serde::Deserialize)]
struct ResourceFile {
    resource: Vec<Resource>,
}

fn read_example(deployment: &str, file: &str) -> String {
    let path = format!(
        "{}/../examples/{deployment}/{file}",
        env!("CARGO_MANIFEST_DIR")
    );
    std::fs::read_to_string(path).expect("the example")
}

#[test_case("quito"; "registry")]
#[test_case("bangkok"; "consortium")]
fn settings_have_no_errors(deployment: &str) {
    assert!(parse_settings(&read_example(deployment, "settings.toml")).is_ok());
}

#[test_case("quito", 10; "registry")]
#[test_case("bangkok", 20; "consortium")]
fn resources_have_no_errors(deployment: &str, engine_count: usize) {
    let file: ResourceFile =
        toml::from_str(&read_example(deployment, "resources.toml")).expect("TOML");
    for resource in &file.resource {
        assert_eq!(
            validate_resource(resource),
            Vec::new(),
            "{}",
            resource.name()
        );
    }
    let servers = file
        .resource
        .iter()
        .filter(|resource| resource.kind() == ResourceKind::BackendServer)
        .count();
    assert_eq!(servers, engine_count + 4);
}
