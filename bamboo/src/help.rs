//! Help texts.

const GENERAL: &str = "\
Operators' command line of bambooroute.

USAGE: bamboo VERB [ARGUMENTS] [OPTIONS]

VERBS
  apply -f FILE              declare or change resources
  get KIND [NAME]            show resources
  describe KIND NAME         a resource with its jobs, changes and refusals
  delete KIND NAME           delete a resource
  watch [KIND NAME]          follow changes and refusals, or one resource with its jobs
  jobs list|submit|get|cancel|results
                             batch jobs
  status                     one host as it sees itself
  drain                      begin the planned stop of a host
KINDS: model, backend_server, plain_service, serving, caller

OPTIONS
  --address IP:PORT          operators' address of any host [BAMBOO_ADDRESS, 127.0.0.1:7001]
  --key KEY                  operators' key [BAMBOO_KEY]
  --caller-address IP:PORT   callers' address, for jobs submit [BAMBOO_CALLER_ADDRESS]
  --caller-key KEY           a caller's key, for jobs submit [BAMBOO_CALLER_KEY]
  -o, --output json|table    form of the output [table]
  -h, --help                 help, also of one verb
EXIT CODES
  0 done  1 local failure  2 arguments do not fit  3 conflict  4 refused  5 not found  6 come back later
";

const APPLY: &str = "\
USAGE: bamboo apply -f FILE

FILE holds resources: TOML with [[resource]] tables, or JSON with one resource or a list; '-' is standard input.
A resource that is in force as it stands is left alone. Each change carries the revision that was read just before;
if another operator's change came first, the command prints the newer text and exits 3.
";

const GET: &str = "\
USAGE: bamboo get KIND [NAME]
";

const DESCRIBE: &str = "\
USAGE: bamboo describe KIND NAME

Shows the resource, its recent changes and refusals and, for a serving resource, the jobs queued against it.
";

const DELETE: &str = "\
USAGE: bamboo delete KIND NAME [--based-on REVISION]

Without --based-on, the revision in force is read first.
";

const WATCH: &str = "\
USAGE: bamboo watch [--from OFFSET] [--once]
       bamboo watch KIND NAME [--once]

With KIND and NAME, prints the resource with its jobs, changes and refusals whenever they differ. Without, prints each change and refusal as it happens; --once stops after the first answer.
";

const JOBS: &str = "\
USAGE: bamboo jobs list
       bamboo jobs submit -f FILE [--idempotency-key KEY] [--window 6h] [--deadline RFC3339]
       bamboo jobs get JOB [--wait]
       bamboo jobs cancel JOB
       bamboo jobs results JOB

submit uses --caller-address and --caller-key. Each line of FILE is {\"custom_id\": \"…\", \"body\": {…}}.
--wait follows the job until it ends.
";

const STATUS: &str = "\
USAGE: bamboo status
";

const DRAIN: &str = "\
USAGE: bamboo drain

The host at --address turns not ready, gives up what it owns, finishes every request in progress and exits.
";

/// The help of a command, or the general one.
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
