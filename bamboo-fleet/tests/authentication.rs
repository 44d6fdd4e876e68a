//! Keys of callers: which of them authenticate a request, and that none of them is passed on.

use bamboo_fleet::Authentication;
use bamboo_fleet::AuthenticationFailure;
use bamboo_fleet::Workspace;
use bamboo_fleet::Workspaces;
use bamboo_fleet::authenticate;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use proptest::collection::vec;
use proptest::prelude::*;
use test_case::test_case;

const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("x-workspace");
const KEY: &str = "key-7d1c";

fn workspace(name: &str, priority: u32) -> Workspace {
    Workspace {
        name: name.into(),
        priority,
        rate: None,
    }
}

fn workspaces(key: &[u8]) -> Workspaces {
    let mut workspaces = Workspaces::default();
    workspaces.add(workspace("lab", 1), [key]);
    workspaces.add(workspace("idle", 2), Vec::<String>::new());
    workspaces
}

fn headers(credentials: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in credentials {
        let value = HeaderValue::from_bytes(value).unwrap();
        headers.append(header::AUTHORIZATION, value);
    }
    headers
}

/// Guards against callers that get in without the one key of a workspace, or with it do not.
#[test_case(&[], Err(AuthenticationFailure::MissingKey); "no header")]
#[test_case(&[b""], Err(AuthenticationFailure::MissingKey); "empty header")]
#[test_case(&[b"Bearer"], Err(AuthenticationFailure::MissingKey); "scheme alone")]
#[test_case(&[b"Bearer  "], Err(AuthenticationFailure::MissingKey); "empty key")]
#[test_case(&[b"Basic key-7d1c"], Err(AuthenticationFailure::MissingKey); "another scheme")]
#[test_case(&[b"key-7d1c"], Err(AuthenticationFailure::MissingKey); "no scheme")]
#[test_case(&[b"Bearerkey-7d1c"], Err(AuthenticationFailure::MissingKey); "no space")]
#[test_case(&[b"Bearer key-7d1"], Err(AuthenticationFailure::UnknownKey); "a part of the key")]
#[test_case(&[b"Bearer KEY-7D1C"], Err(AuthenticationFailure::UnknownKey); "key in another case")]
#[test_case(&[b"Bearer key-7d1c, Bearer key-7d1c"], Err(AuthenticationFailure::UnknownKey); "list")]
#[test_case(&[b"Bearer key-7d1c\xff"], Err(AuthenticationFailure::UnknownKey); "bytes that are no text")]
#[test_case(&[b"Bearer key-7d1c", b"Bearer key-7d1c"], Err(AuthenticationFailure::SeveralCredentials); "twice")]
#[test_case(&[b"Bearer other", b"Bearer key-7d1c"], Err(AuthenticationFailure::SeveralCredentials); "beside an unknown one")]
#[test_case(&[b"Bearer key-7d1c"], Ok("lab"); "known")]
#[test_case(&[b"bEARER \t key-7d1c "], Ok("lab"); "known, with case and spaces")]
fn only_one_known_key_authenticates(
    credentials: &[&[u8]],
    expected: Result<&str, AuthenticationFailure>,
) {
    let workspaces = workspaces(KEY.as_bytes());
    let headers = headers(credentials);
    let name = |authentication: Authentication| {
        let workspace = authentication.workspace();
        workspace.map(|workspace| workspace.name.clone())
    };
    let found = authenticate(Some(&workspaces), &headers, false);
    let expected = expected.map(str::to_owned);
    assert_eq!(found.map(name), expected.clone().map(Some));
    let public = authenticate(Some(&workspaces), &headers, true).unwrap();
    assert_eq!(name(public), expected.ok());
    assert_eq!(authenticate(None, &headers, false), Ok(Authentication::Off));
}

/// Guards against a workspace that is listed twice and has two priorities, depending on the key.
#[test]
fn an_entry_of_the_same_name_adds_keys() {
    let mut workspaces = workspaces(KEY.as_bytes());
    assert_eq!(workspaces.add(workspace("lab", 9), ["second"]), 0);
    for key in [KEY, "second"] {
        let found = workspaces.find_key(key.as_bytes()).unwrap();
        assert_eq!((found.name.as_str(), found.priority), ("lab", 1));
    }
}

/// Bytes that a header value may have.
fn header_bytes(max: usize) -> impl Strategy<Value = Vec<u8>> {
    let byte = prop_oneof![Just(b'\t'), 0x20..=0x7e_u8, 0x80..=0xff_u8];
    vec(byte, 0..max)
}

/// Credentials with a key: any case of the scheme, any spaces, anything around.
fn credentials(key: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let scheme = prop_oneof!["[bB][eE][aA][rR][eE][rR]", "Basic", "Digest", ""];
    (scheme, "[ \t]{0,3}", header_bytes(4)).prop_map(move |(scheme, space, end)| {
        [scheme.as_bytes(), space.as_bytes(), &key, &end].concat()
    })
}

/// A key, and the values of the `Authorization` headers of a request.
fn keys_and_credentials() -> impl Strategy<Value = (Vec<u8>, Vec<Vec<u8>>)> {
    let key = prop_oneof![
        "[a-zA-Z0-9]{24,40}".prop_map(String::into_bytes),
        "[a-z0-9]{9000,16000}".prop_map(String::into_bytes),
        vec(0x80..=0xff_u8, 24..40),
    ];
    key.prop_flat_map(|key| (Just(key.clone()), vec(credentials(key), 0..4)))
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack.windows(needle.len()).any(|part| part == needle)
}

proptest! {
    /// Guards against a key that reaches servers or a dump, whatever the form of the headers, and against a caller that
    /// states its workspace itself.
    #[test]
    fn no_key_is_passed_on(
        (key, credentials) in keys_and_credentials(),
        stated in vec(header_bytes(12), 0..3),
        is_known: bool,
        is_public: bool,
    ) {
        let workspaces = workspaces(if is_known { &key } else { b"other" });
        let credentials: Vec<&[u8]> = credentials.iter().map(Vec::as_slice).collect();
        let mut headers = headers(&credentials);
        for value in &stated {
            let value = HeaderValue::from_bytes(value).unwrap();
            headers.append(WORKSPACE_HEADER, value);
        }
        headers.insert(header::ACCEPT, HeaderValue::from_static("*/*"));
        let found = authenticate(Some(&workspaces), &headers, is_public);
        let dump = format!("{workspaces:?} {found:?}");
        prop_assert!(!contains(dump.as_bytes(), &key));
        let Ok(authentication) = found else {
            prop_assert!(!is_public);
            return Ok(());
        };
        authentication.rewrite_headers(&mut headers, &WORKSPACE_HEADER);
        prop_assert!(headers.values().all(|value| !contains(value.as_bytes(), &key)));
        prop_assert!(!headers.contains_key(header::AUTHORIZATION));
        prop_assert!(headers.contains_key(header::ACCEPT));
        let names: Vec<_> = headers.get_all(WORKSPACE_HEADER).iter().collect();
        let expected = authentication.workspace().map(|workspace| workspace.name.as_str());
        prop_assert_eq!(names, expected.into_iter().collect::<Vec<_>>());
    }
}
