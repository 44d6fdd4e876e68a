//! Starts a fleet of processes on free loopback ports.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bamboo_client::Api;
use bamboo_config::KeyHash;
use serde_json::Value;
use serde_json::json;

use crate::deployment::CALLER_KEY;
use crate::deployment::Deployment;
use crate::process::Process;
use crate::process::free_address;

/// Bearer key of the operators, the same in every fleet.
pub(crate) const OPERATOR_KEY: &str = "operator-key";
/// Timeout for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One daemon of a fleet.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) caller_address: String,
    pub(crate) operator_address: String,
    peer_address: String,
    data_centre: String,
    settings_file: PathBuf,
    pub(crate) process: Option<Process>,
}

/// One backend server of a fleet.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) address: String,
    arguments: Vec<String>,
    pub(crate) process: Option<Process>,
}

/// A running fleet. Dropping it kills all of its processes.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) deployment: Deployment,
    pub(crate) hosts: Vec<Host>,
    pub(crate) engines: Vec<Server>,
    pub(crate) plain_servers: Vec<Server>,
    pub(crate) platform_address: String,
    _platform: Process,
    settings_directory: PathBuf,
    shows_logs: bool,
}

impl Fleet {
    /// Starts all processes and waits until every host has applied the resources.
    ///
    /// # Errors
    /// Fails if a process does not start or the fleet does not become ready in time.
    pub(crate) async fn start(deployment: Deployment, shows_logs: bool) -> anyhow::Result<Self> {
        let settings_directory =
            std::env::temp_dir().join(format!("bamboo-fleet-{}", std::process::id()));
        std::fs::create_dir_all(&settings_directory)
            .context("cannot create the settings directory")?;
        let platform_address = free_address()?;
        let arguments = vec![
            "platform".to_owned(),
            "--listen".to_owned(),
            platform_address.clone(),
        ];
        let platform = Process::start("bamboo-standin", &arguments, shows_logs)?;
        let mut fleet = Fleet {
            hosts: Vec::new(),
            engines: Vec::new(),
            plain_servers: Vec::new(),
            platform_address,
            _platform: platform,
            settings_directory,
            shows_logs,
            deployment,
        };
        fleet.start_servers()?;
        wait_until_reachable(&fleet.platform_address, "/hosts").await?;
        fleet.start_hosts()?;
        fleet.publish_hosts(&[]).await?;
        fleet.wait_until_ready().await?;
        fleet.apply_resources().await?;
        Ok(fleet)
    }

    /// Returns a client of the operator interface of a host.
    pub(crate) fn operator(&self, index: usize) -> Api {
        Api::new(&self.hosts[index].operator_address, OPERATOR_KEY)
    }

    /// Returns a client of the caller interface of a host.
    pub(crate) fn caller(&self, index: usize) -> Api {
        Api::new(&self.hosts[index].caller_address, CALLER_KEY)
    }

    /// Returns the caller addresses of all running hosts.
    pub(crate) fn caller_addresses(&self) -> Vec<String> {
        let running = self.hosts.iter().filter(|host| host.process.is_some());
        running.map(|host| host.caller_address.clone()).collect()
    }

    /// Starts the process of a host, whose previous process must have ended.
    ///
    /// # Errors
    /// Fails if the process does not start.
    pub(crate) fn start_host(&mut self, index: usize) -> anyhow::Result<()> {
        let host = &mut self.hosts[index];
        let arguments = vec![
            "--settings".to_owned(),
            host.settings_file.display().to_string(),
        ];
        host.process = Some(Process::start("bambood", &arguments, self.shows_logs)?);
        Ok(())
    }

    /// Starts the process of an engine, whose previous process must have ended.
    ///
    /// # Errors
    /// Fails if the process does not start.
    pub(crate) fn start_engine(&mut self, index: usize) -> anyhow::Result<()> {
        let engine = &mut self.engines[index];
        engine.process = Some(Process::start(
            "bamboo-standin",
            &engine.arguments,
            self.shows_logs,
        )?);
        Ok(())
    }

    /// Sets the faults that the platform injects.
    ///
    /// # Errors
    /// Fails if the request to the platform fails.
    pub(crate) async fn set_platform_faults(&self, faults: Value) -> anyhow::Result<()> {
        Api::new(&self.platform_address, "")
            .put("/admin/faults", faults.to_string())
            .await?;
        Ok(())
    }

    /// Publishes the host list without the hosts at the excluded indices.
    ///
    /// # Errors
    /// Fails if the request to the platform fails.
    pub(crate) async fn publish_hosts(&self, excluded: &[usize]) -> anyhow::Result<()> {
        let published = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(index, _)| !excluded.contains(index));
        let rows: Vec<Value> = published
            .map(|(_, host)| {
                json!({
                    "host": host.name, "data_centre": host.data_centre, "peer_address": host.peer_address
                })
            })
            .collect();
        let list = json!({ "hosts": rows, "leaving_servers": [] });
        Api::new(&self.platform_address, "")
            .put("/admin/hosts", list.to_string())
            .await?;
        Ok(())
    }

    /// Waits until every running host reports that it is ready.
    ///
    /// # Errors
    /// Fails if a host is not ready within the timeout.
    pub(crate) async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.hosts.len() {
            if self.hosts[index].process.is_none() {
                continue;
            }
            loop {
                let status = self
                    .operator(index)
                    .get("/api/v1/status")
                    .await
                    .unwrap_or(Value::Null);
                if status["is_ready"] == true {
                    break;
                }
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "host {} is not ready after {READY_TIMEOUT:?}",
                    self.hosts[index].name
                );
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn start_servers(&mut self) -> anyhow::Result<()> {
        for index in 0..self.deployment.engine_count {
            let address = free_address()?;
            let name = format!("{}-{index}", self.deployment.model);
            let mut arguments = owned_strings(&["engine", "--listen", &address, "--name", &name]);
            arguments.extend(owned_strings(&["--model", self.deployment.model]));
            if index.is_multiple_of(2) {
                arguments.push("--checks-fencing".to_owned());
            }
            self.engines.push(Server {
                name,
                address,
                arguments,
                process: None,
            });
            self.start_engine(index)?;
        }
        for index in 0..self.deployment.plain_count {
            let address = free_address()?;
            let name = format!("{}-{index}", self.deployment.service);
            let arguments = owned_strings(&["plain", "--listen", &address, "--name", &name]);
            let process = Some(Process::start(
                "bamboo-standin",
                &arguments,
                self.shows_logs,
            )?);
            self.plain_servers.push(Server {
                name,
                address,
                arguments,
                process,
            });
        }
        Ok(())
    }

    fn start_hosts(&mut self) -> anyhow::Result<()> {
        for index in 0..self.deployment.host_count {
            let name = format!("host-{index}");
            let data_centre = self.deployment.data_centre(index).to_owned();
            let host = Host {
                caller_address: free_address()?,
                operator_address: free_address()?,
                peer_address: free_address()?,
                settings_file: self.settings_directory.join(format!("{name}.toml")),
                name,
                data_centre,
                process: None,
            };
            std::fs::write(&host.settings_file, self.settings_toml(&host))
                .context("cannot write the settings file")?;
            self.hosts.push(host);
            self.start_host(index)?;
        }
        Ok(())
    }

    fn settings_toml(&self, host: &Host) -> String {
        let platform = &self.platform_address;
        format!(
            "[host]\nid = \"{}\"\ndata_centre = \"{}\"\n\n\
             [listen]\ncaller = \"{}\"\noperator = \"{}\"\npeer = \"{}\"\n\n\
             [keys]\noperator_sha256 = \"{}\"\npeer = \"peer-key\"\n\n\
             [platform]\nlog_url = \"http://{platform}/log\"\nhost_list_url = \"http://{platform}/hosts\"\n\
             weight_store_url = \"http://{platform}/weights\"\n\n\
             [log_budget]\nexpected_hosts = {}\n",
            host.name,
            host.data_centre,
            host.caller_address,
            host.operator_address,
            host.peer_address,
            KeyHash::of(OPERATOR_KEY).as_str(),
            self.deployment.host_count,
        )
    }

    async fn apply_resources(&self) -> anyhow::Result<()> {
        let addresses = |servers: &[Server]| {
            servers
                .iter()
                .map(|server| server.address.clone())
                .collect::<Vec<_>>()
        };
        let resources = self
            .deployment
            .resources(&addresses(&self.engines), &addresses(&self.plain_servers));
        let operator = self.operator(0);
        let mut revision = 0;
        for resource in &resources {
            let path = format!(
                "/api/v1/resources/{}/{}?based_on=0",
                resource.kind(),
                resource.name()
            );
            let response = operator.put(&path, json!(resource).to_string()).await?;
            revision = response["revision"].as_u64().unwrap_or(revision);
        }
        let offset = operator.get("/api/v1/status").await?["config_offset"]
            .as_u64()
            .unwrap_or(0);
        let deadline = Instant::now() + READY_TIMEOUT;
        for index in 0..self.hosts.len() {
            while self.operator(index).get("/api/v1/status").await?["config_offset"].as_u64()
                < Some(offset)
            {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "configuration is not applied on every host after {READY_TIMEOUT:?}"
                );
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Best effort: a leftover temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&self.settings_directory);
    }
}

async fn wait_until_reachable(address: &str, path: &str) -> anyhow::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Api::new(address, "").get(path).await.is_err() {
        anyhow::ensure!(
            Instant::now() < deadline,
            "{address} does not respond after {READY_TIMEOUT:?}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn owned_strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}
