//! The control actor: steps the host core on the control thread and sends its outputs to the other threads.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use bamboo_host::Answer;
use bamboo_host::HostCore;
use bamboo_host::HostStatus;
use bamboo_host::Input;
use bamboo_host::Output;
use bamboo_types::RequestId;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::batch::BatchCommand;
use crate::config_table::ConfigTable;
use crate::io_thread::IoCommand;
use crate::shared::Shared;

/// Interval at which the core gets a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// An input for the core that needs no answer.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct InputMessage {
    pub(crate) input: Input,
    pub(crate) sent_at: Instant,
}

/// An input for the core that is answered through `reply`.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct RequestMessage {
    pub(crate) request: RequestId,
    pub(crate) input: Input,
    pub(crate) reply: oneshot::Sender<Answer>,
    pub(crate) sent_at: Instant,
}

/// Requests the status of the core.
#[derive(Message)]
#[rtype(result = "HostStatus")]
pub(crate) struct GetStatus;

/// Steps the core with the oldest deferred input.
#[derive(Message)]
#[rtype(result = "()")]
struct StepDeferred;

/// The actor that owns the host core.
pub(crate) struct ControlActor {
    core: HostCore,
    shared: Arc<Shared>,
    io_commands: UnboundedSender<IoCommand>,
    batch_commands: UnboundedSender<BatchCommand>,
    pending_replies: HashMap<RequestId, oneshot::Sender<Answer>>,
    deferred: VecDeque<Input>,
    drain_sender: Option<oneshot::Sender<()>>,
}

impl ControlActor {
    pub(crate) fn new(
        core: HostCore,
        shared: Arc<Shared>,
        io_commands: UnboundedSender<IoCommand>,
        batch_commands: UnboundedSender<BatchCommand>,
        drain_sender: oneshot::Sender<()>,
    ) -> Self {
        ControlActor {
            core,
            shared,
            io_commands,
            batch_commands,
            pending_replies: HashMap::new(),
            deferred: VecDeque::new(),
            drain_sender: Some(drain_sender),
        }
    }

    fn step(&mut self, input: Input, wait: Duration) {
        let started_at = Instant::now();
        let outputs = self.core.step(self.shared.clock.now(), input);
        for output in outputs {
            self.execute_output(output);
        }
        self.shared
            .metrics
            .record_control_step(wait, started_at.elapsed());
    }

    fn execute_output(&mut self, output: Output) {
        match output {
            Output::Append { stream, bytes } => {
                self.send_io_command(IoCommand::Append { stream, bytes })
            }
            Output::Read { stream, from } => self.send_io_command(IoCommand::Read { stream, from }),
            Output::ReadEntry { stream, offset } => {
                self.send_io_command(IoCommand::ReadEntry { stream, offset });
            }
            Output::Send {
                to,
                address,
                messages,
            } => self.send_io_command(IoCommand::Send {
                to,
                address,
                messages,
            }),
            Output::Answer { request, answer } => {
                if let Some(reply) = self.pending_replies.remove(&request) {
                    // Fails if the caller has disconnected, in which case the answer is not needed.
                    let _ = reply.send(answer);
                }
            }
            Output::StartItem { run, address, item } => {
                self.send_batch_command(BatchCommand::Start { run, address, item })
            }
            Output::StopItem { run } => self.send_batch_command(BatchCommand::Stop { run }),
            Output::DropItem { run } => self.send_batch_command(BatchCommand::Drop { run }),
            Output::CancelOrphanedRuns { server, address } => {
                self.send_batch_command(BatchCommand::CancelOrphanedRuns { server, address })
            }
            Output::PublishConfig(state) => {
                self.shared.config.store(Arc::new(ConfigTable::new(state)))
            }
            Output::Ready(is_ready) => {
                self.shared.is_ready.store(is_ready, Ordering::Relaxed);
                log::info!(
                    "host {} is {}",
                    self.shared.settings.host,
                    if is_ready { "ready" } else { "not ready" }
                );
            }
            Output::Event {
                kind,
                subject,
                detail,
            } => {
                self.shared.metrics.record_event(&format!("{kind:?}"));
                if is_logged(kind) {
                    log::info!("{kind:?} {subject} {detail}");
                }
                self.shared.record_event(kind, subject, detail);
            }
            Output::Drained => {
                if let Some(drain_sender) = self.drain_sender.take() {
                    let _ = drain_sender.send(());
                }
            }
        }
    }

    fn send_io_command(&self, command: IoCommand) {
        // The receiver is dropped only when the daemon exits.
        let _ = self.io_commands.send(command);
    }

    fn send_batch_command(&self, command: BatchCommand) {
        let _ = self.batch_commands.send(command);
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(TICK_INTERVAL, |control, _| {
            control.step(Input::Tick, Duration::ZERO)
        });
    }
}

impl Handler<InputMessage> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: InputMessage, context: &mut Self::Context) {
        // Each batch input is queued behind the messages already in the mailbox, so that online requests overtake it.
        if is_deferrable(&message.input) {
            self.deferred.push_back(message.input);
            context.notify(StepDeferred);
            return;
        }
        self.step(message.input, message.sent_at.elapsed());
    }
}

impl Handler<StepDeferred> for ControlActor {
    type Result = ();

    fn handle(&mut self, _: StepDeferred, _: &mut Self::Context) {
        if let Some(input) = self.deferred.pop_front() {
            self.step(input, Duration::ZERO);
        }
    }
}

impl Handler<RequestMessage> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: RequestMessage, _: &mut Self::Context) {
        self.pending_replies.insert(message.request, message.reply);
        self.step(message.input, message.sent_at.elapsed());
    }
}

impl Handler<GetStatus> for ControlActor {
    type Result = actix::MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.core.status(self.shared.clock.now()))
    }
}

fn is_deferrable(input: &Input) -> bool {
    matches!(
        input,
        Input::ReadAnswered { .. } | Input::ItemEnded { .. } | Input::ItemFirstToken(_)
    )
}

/// Whether an event is also logged. Frequent events are only counted, so that the log shows changes of state.
fn is_logged(kind: bamboo_events::EventKind) -> bool {
    use bamboo_events::EventKind;
    matches!(
        kind,
        EventKind::JobAccepted
            | EventKind::JobEnded
            | EventKind::ShardOwned
            | EventKind::ShardLost
            | EventKind::ServerOwned
            | EventKind::ServerLost
            | EventKind::ConfigChanged
            | EventKind::LogState
    )
}
