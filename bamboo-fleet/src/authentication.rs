//! Decides by its headers for which workspace a request is, and what of its credentials servers get.

use std::rc::Rc;

use bamboo_types::WorkspaceId;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::Workspace;
use crate::Workspaces;

/// Scheme of the credentials that carry a key. Case does not matter.
const SCHEME: &[u8] = b"bearer";

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthenticationFailure {
    /// It carries no key.
    MissingKey,
    /// No workspace has its key.
    UnknownKey,
    /// It carries credentials more than once.
    SeveralCredentials,
}

impl AuthenticationFailure {
    /// Name in metrics and log lines.
    ///
    /// ```
    /// assert_eq!(bamboo_fleet::AuthenticationFailure::UnknownKey.name(), "unknown_key");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            AuthenticationFailure::MissingKey => "missing_key",
            AuthenticationFailure::UnknownKey => "unknown_key",
            AuthenticationFailure::SeveralCredentials => "several_credentials",
        }
    }
}

/// Who sent a request, as far as its key tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Authentication {
    /// Callers need no key, because the configuration has no workspaces. Servers get the headers as they are.
    Off,
    /// The request needs no key, and carries none of a workspace.
    Anonymous,
    /// The workspace that has the key.
    Known(Rc<Workspace>),
}

impl Authentication {
    /// The workspace of the request.
    ///
    /// ```
    /// assert!(bamboo_fleet::Authentication::Anonymous.workspace().is_none());
    /// ```
    pub fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Authentication::Known(workspace) => Some(workspace),
            Authentication::Off | Authentication::Anonymous => None,
        }
    }

    /// Name of the workspace of the request.
    ///
    /// ```
    /// assert!(bamboo_fleet::Authentication::Off.workspace_name().is_none());
    /// ```
    pub fn workspace_name(&self) -> Option<WorkspaceId> {
        Some(self.workspace()?.name.clone())
    }

    /// Removes the credentials and the caller's own statement of its workspace from headers that are forwarded, and states
    /// the workspace. A name that no header can carry is left out.
    ///
    /// ```
    /// use bamboo_fleet::Authentication;
    /// use http::{HeaderMap, HeaderName, HeaderValue, header};
    /// let name = HeaderName::from_static("x-workspace");
    /// let mut headers = HeaderMap::new();
    /// headers.insert(header::AUTHORIZATION, HeaderValue::from_static("Bearer key"));
    /// headers.insert(name.clone(), HeaderValue::from_static("other"));
    /// Authentication::Anonymous.rewrite_headers(&mut headers, &name);
    /// assert!(headers.is_empty());
    /// ```
    pub fn rewrite_headers(&self, headers: &mut HeaderMap, workspace_header: &HeaderName) {
        if *self == Authentication::Off {
            return;
        }
        headers.remove(header::AUTHORIZATION);
        headers.remove(workspace_header);
        let name = self.workspace().map(|workspace| &workspace.name);
        if let Some(value) = name.and_then(|name| HeaderValue::from_bytes(name.as_bytes()).ok()) {
            headers.insert(workspace_header, value);
        }
    }
}

/// Authenticates a request by its headers.
///
/// # Errors
/// Fails if the request needs a key, and does not carry exactly one that a workspace has.
///
/// ```
/// use bamboo_fleet::{Authentication, AuthenticationFailure, Workspaces, authenticate};
/// use http::HeaderMap;
/// let workspaces = Workspaces::default();
/// let headers = HeaderMap::new();
/// assert_eq!(authenticate(None, &headers, false), Ok(Authentication::Off));
/// assert_eq!(authenticate(Some(&workspaces), &headers, true), Ok(Authentication::Anonymous));
/// assert_eq!(authenticate(Some(&workspaces), &headers, false), Err(AuthenticationFailure::MissingKey));
/// ```
pub fn authenticate(
    workspaces: Option<&Workspaces>,
    headers: &HeaderMap,
    is_public: bool,
) -> Result<Authentication, AuthenticationFailure> {
    let Some(workspaces) = workspaces else {
        return Ok(Authentication::Off);
    };
    match find_workspace(workspaces, headers) {
        Ok(workspace) => Ok(Authentication::Known(Rc::clone(workspace))),
        Err(_) if is_public => Ok(Authentication::Anonymous),
        Err(failure) => Err(failure),
    }
}

fn find_workspace<'a>(
    workspaces: &'a Workspaces,
    headers: &HeaderMap,
) -> Result<&'a Rc<Workspace>, AuthenticationFailure> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let credentials = values.next().ok_or(AuthenticationFailure::MissingKey)?;
    if values.next().is_some() {
        return Err(AuthenticationFailure::SeveralCredentials);
    }
    let key = bearer_key(credentials.as_bytes()).ok_or(AuthenticationFailure::MissingKey)?;
    workspaces
        .find_key(key)
        .ok_or(AuthenticationFailure::UnknownKey)
}

/// The key in credentials; `None` if they are of another scheme or the key is empty.
fn bearer_key(credentials: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = credentials.trim_ascii().split_at_checked(SCHEME.len())?;
    let key = rest.trim_ascii_start();
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME) && key.len() < rest.len();
    is_bearer.then_some(key)
}
