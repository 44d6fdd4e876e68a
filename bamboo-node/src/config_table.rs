//! Lookup tables that the HTTP handlers use, built from the configuration.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use bamboo_config::Caller;
use bamboo_config::ConfigState;
use bamboo_config::KeyHash;
use bamboo_config::Limits;
use bamboo_config::PlainService;
use bamboo_config::Resource;
use bamboo_config::ResourceKind;
use bamboo_config::Serving;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bamboo_types::ModelId;

/// The serving resource that admits a caller to a model, with the limits that apply.
#[derive(Debug, Clone)]
pub(crate) struct Admission {
    pub(crate) serving: String,
    pub(crate) limits: Limits,
}

/// Lookup tables over one immutable configuration state.
#[derive(Debug, Default)]
pub(crate) struct ConfigTable {
    pub(crate) state: Arc<ConfigState>,
    callers: HashMap<String, Caller>,
    admissions: BTreeMap<(String, ModelId), Admission>,
    models: Vec<ModelId>,
}

impl ConfigTable {
    pub(crate) fn new(state: Arc<ConfigState>) -> Self {
        let mut table = ConfigTable {
            state: Arc::clone(&state),
            ..ConfigTable::default()
        };
        for stored in state.list(ResourceKind::Caller) {
            if let Resource::Caller(caller) = &stored.resource {
                table
                    .callers
                    .insert(caller.key_sha256.as_str().to_owned(), caller.clone());
            }
        }
        for stored in state.list(ResourceKind::Serving) {
            if let Resource::Serving(serving) = &stored.resource {
                table.add_serving(serving);
            }
        }
        table.models.sort();
        table.models.dedup();
        table
    }

    /// Returns the caller with this bearer key.
    pub(crate) fn caller(&self, key: &str) -> Option<&Caller> {
        self.callers.get(KeyHash::of(key).as_str())
    }

    /// Returns the serving resource under which the caller may use the model.
    ///
    /// # Errors
    /// Fails if the caller may not use the model or no serving resource has it.
    pub(crate) fn admit(&self, caller: &str, model: &str) -> Result<&Admission, ApiError> {
        let name = (caller.to_owned(), model.to_owned());
        if let Some(admission) = self.admissions.get(&name) {
            return Ok(admission);
        }
        let is_known = self.models.iter().any(|known| known == model);
        let error = match is_known {
            true => ApiError::new(
                Code::Forbidden,
                format!("caller '{caller}' may not reach model '{model}'"),
            ),
            false => ApiError::new(Code::UnknownModel, format!("no model '{model}' is carried")),
        };
        Err(error)
    }

    /// Returns the models that the caller may use.
    pub(crate) fn models_for(&self, caller: &str) -> Vec<&ModelId> {
        self.admissions
            .keys()
            .filter(|(allowed, _)| allowed == caller)
            .map(|(_, model)| model)
            .collect()
    }

    /// Returns a plain service.
    ///
    /// # Errors
    /// Fails if it does not exist or the caller may not use it.
    pub(crate) fn service(&self, caller: &str, name: &str) -> Result<&PlainService, ApiError> {
        match self
            .state
            .get(ResourceKind::PlainService, name)
            .map(|stored| &stored.resource)
        {
            Some(Resource::PlainService(service))
                if service.callers.iter().any(|allowed| allowed == caller) =>
            {
                Ok(service)
            }
            Some(_) => Err(ApiError::new(
                Code::Forbidden,
                format!("caller '{caller}' may not reach service '{name}'"),
            )),
            None => Err(ApiError::new(
                Code::NotFound,
                format!("no service '{name}'"),
            )),
        }
    }

    fn add_serving(&mut self, serving: &Serving) {
        for version in &serving.models {
            self.models.push(version.model.clone());
            for caller in &serving.callers {
                let limits = serving
                    .caller_limits
                    .get(caller)
                    .copied()
                    .unwrap_or(serving.limits);
                let admission = Admission {
                    serving: serving.name.clone(),
                    limits,
                };
                self.admissions
                    .insert((caller.clone(), version.model.clone()), admission);
            }
        }
    }
}
