//! Help texts of the commands.

const GENERAL: &str = "\
Command-line interface for operators of bambooroute.

USAGE: bamboo COMMAND [ARGUMENTS] [OPTIONS]

COMMANDS
  apply -f FILE              create or update resources
  get KIND [NAME]            show resources
  describe KIND NAME         show a resource with its jobs, changes and rejected changes
  delete KIND NAME           delete a resource
  watch [KIND NAME]          follow all changes and rejected changes, or one resource with its jobs
  jobs list|submit|get|cancel|results
                             manage batch jobs
  status                     show the status that a host reports
  drain                      start a graceful shutdown of a host
KINDS: model, backend_server, plain_service, serving, caller

OPTIONS
  --address IP:PORT          operator address of any host [BAMBOO_ADDRESS, 127.0.0.1:7001]
  --key KEY                  operator key [BAMBOO_KEY]
  --caller-address IP:PORT   caller address of any host, for jobs submit [BAMBOO_CALLER_ADDRESS]
  --caller-key KEY           caller key, for jobs submit [BAMBOO_CALLER_KEY]
  -o, --output json|table    output format [table]
  -h, --help                 show help, also for one command
EXIT CODES
  0 success  1 local error  2 invalid arguments  3 conflict  4 refused  5 not found  6 unavailable, retry later
";

const APPLY: &str = "\
USAGE: bamboo apply -f FILE

FILE contains resources: TOML with [[resource]] tables, or JSON with one resource or a list; '-' is standard input.
Resources that already match are left unchanged. Each change carries the revision that was read just before it;
if another operator changed the resource in between, the command prints the current resource and exits with 3.
";

const GET: &str = "\
USAGE: bamboo get KIND [NAME]
";

const DESCRIBE: &str = "\
USAGE: bamboo describe KIND NAME

Shows the resource, its recent changes and rejected changes and, for a serving resource, its queued jobs.
";

const DELETE: &str = "\
USAGE: bamboo delete KIND NAME [--based-on REVISION]

Without --based-on, the current revision is read first.
";

const WATCH: &str = "\
USAGE: bamboo watch [--from OFFSET] [--once]
       bamboo watch KIND NAME [--once]

With KIND and NAME, prints the resource with its jobs, changes and rejected changes whenever any of them changes.
Otherwise prints each change and rejected change as it happens. --once exits after the first response.
";

const JOBS: &str = "\
USAGE: bamboo jobs list
       bamboo jobs submit -f FILE [--idempotency-key KEY] [--window 6h] [--deadline RFC3339]
       bamboo jobs get JOB [--wait]
       bamboo jobs cancel JOB
       bamboo jobs results JOB

submit uses --caller-address and --caller-key. Each line of FILE is {\"custom_id\": \"…\", \"body\": {…}}.
--wait polls until the job ends.
";

const STATUS: &str = "\
USAGE: bamboo status
";

const DRAIN: &str = "\
USAGE: bamboo drain

The host at --address reports not ready, releases the shards and servers it owns, finishes all requests in progress
and exits.
";

/// Returns the help text of a command, or the general help text if the command is missing or unknown.
pub(crate) fn text(command: Option<&str>) -> &'static str {
    match command {
        Some("apply") => APPLY,
        Some("get") => GET,
        Some("describe") => DESCRIBE,
        Some("delete") => DELETE,
        Some("watch") => WATCH,
        Some("jobs") => JOBS,
        Some("status") => STATUS,
        Some("drain") => DRAIN,
        _ => GENERAL,
    }
}
