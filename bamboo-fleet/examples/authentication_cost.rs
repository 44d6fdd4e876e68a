//! Measures the time that authentication adds to a request, with few workspaces and with many.

use std::hint::black_box;
use std::time::Instant;

use bamboo_fleet::Workspace;
use bamboo_fleet::Workspaces;
use bamboo_fleet::authenticate;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http::header::InvalidHeaderValue;

const WORKSPACE_HEADER: HeaderName = HeaderName::from_static("x-workspace");
const REQUESTS: usize = 400_000;
const KEYS_PER_WORKSPACE: usize = 2;

fn key(workspace: usize, number: usize) -> String {
    format!("{workspace:032x}-{number:03x}")
}

fn workspaces(count: usize) -> Workspaces {
    let mut workspaces = Workspaces::default();
    for index in 0..count {
        let workspace = Workspace {
            name: format!("workspace-{index}"),
            priority: 0,
            rate: None,
        };
        workspaces.add(
            workspace,
            (0..KEYS_PER_WORKSPACE).map(|number| key(index, number)),
        );
    }
    workspaces
}

/// Headers of a caller, with these credentials.
fn headers(credentials: &str) -> Result<HeaderMap, InvalidHeaderValue> {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static("h.example"));
    headers.insert(header::ACCEPT, HeaderValue::from_static("*/*"));
    headers.insert(header::AUTHORIZATION, HeaderValue::from_str(credentials)?);
    Ok(headers)
}

/// Mean time of one request in nanoseconds.
fn measure(workspaces: &Workspaces, requests: Vec<HeaderMap>) -> f64 {
    let count = requests.len();
    let started = Instant::now();
    for mut headers in requests {
        if let Ok(authentication) = authenticate(Some(workspaces), &headers, false) {
            authentication.rewrite_headers(&mut headers, &WORKSPACE_HEADER);
        }
        // Kept alive, so that freeing the headers is not part of the time.
        std::mem::forget(black_box(headers));
    }
    started.elapsed().as_nanos() as f64 / count as f64
}

fn main() -> Result<(), InvalidHeaderValue> {
    let long_key = "x".repeat(16_000);
    for count in [1, 420, 42_000] {
        let workspaces = workspaces(count);
        // A step that has no factor in common with the counts spreads the requests over all workspaces.
        let known =
            (0..REQUESTS).map(|index| headers(&format!("Bearer {}", key(index * 7919 % count, 1))));
        let unknown =
            (0..REQUESTS).map(|index| headers(&format!("Bearer {}", key(count + index, 0))));
        let long = (0..REQUESTS / 100).map(|_| headers(&format!("Bearer {long_key}")));
        let known = measure(&workspaces, known.collect::<Result<_, _>>()?);
        let unknown = measure(&workspaces, unknown.collect::<Result<_, _>>()?);
        let long = measure(&workspaces, long.collect::<Result<_, _>>()?);
        println!(
            "{count} workspaces: known key {known:.0} ns, unknown key {unknown:.0} ns, key of 16,000 bytes {long:.0} ns"
        );
    }
    Ok(())
}
