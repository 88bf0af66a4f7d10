import { Counter, Gauge, Histogram, Registry } from "prom-client";

const durationBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 15];

/** The metrics of a router, a daemon that reads its configuration from a registry. */
export class RouterMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: "pistachioway_requests_total",
    help: "Requests of callers by kind of route and outcome.",
    labelNames: ["kind", "outcome"],
    registers: [this.registry],
  });

  readonly duration = new Histogram({
    name: "pistachioway_request_duration_seconds",
    help: "Time from the arrival of a request to the end of its answer.",
    labelNames: ["kind"],
    buckets: durationBucketsSeconds,
    registers: [this.registry],
  });

  readonly retries = new Counter({
    name: "pistachioway_retries_total",
    help: "Requests that were sent once more, by how the attempt before ended.",
    labelNames: ["after"],
    registers: [this.registry],
  });

  readonly waitingRequests = new Gauge({
    name: "pistachioway_waiting_requests",
    help: "Requests that wait for their first attempt, by service.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  readonly queueRefusals = new Counter({
    name: "pistachioway_queue_refusals_total",
    help: "Requests that were refused instead of waiting for their first attempt, by service and reason.",
    labelNames: ["service", "reason"],
    registers: [this.registry],
  });

  readonly lostAttempts = new Counter({
    name: "pistachioway_lost_attempts_total",
    help: "Attempts that may have run and whose connection ended before the answer did, by service.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  readonly promptSources = new Counter({
    name: "pistachioway_prompt_sources_total",
    help: "Prompts sent to engines that are placed by work, by where the engine gets the shared part from.",
    labelNames: ["source"],
    registers: [this.registry],
  });

  readonly unframedAnswers = new Counter({
    name: "pistachioway_unframed_answers_total",
    help: "Answers without length or chunks whose connection ended, by what that was taken for and why.",
    labelNames: ["end", "evidence"],
    registers: [this.registry],
  });

  readonly unboundedAnswers = new Counter({
    name: "pistachioway_unbounded_answers_total",
    help: "Answers of upstreams that were ended because of their size, by the bound that they exceeded.",
    labelNames: ["bound"],
    registers: [this.registry],
  });

  readonly keptBytes = new Gauge({
    name: "pistachioway_kept_bytes",
    help: "Bytes of bodies of callers and upstreams that the process keeps.",
    registers: [this.registry],
  });

  readonly pausedConnections = new Gauge({
    name: "pistachioway_paused_connections",
    help: "Connections that wait to be read on, because they bring more than their share.",
    registers: [this.registry],
  });

  readonly listenAttempts = new Counter({
    name: "pistachioway_listen_attempts_total",
    help: "Attempts to listen at the start, by listener and result.",
    labelNames: ["listener", "result"],
    registers: [this.registry],
  });

  readonly failedTurns = new Counter({
    name: "pistachioway_failed_turns_total",
    help: "Turns of the process's own periodic tasks that failed, by task.",
    labelNames: ["task"],
    registers: [this.registry],
  });

  readonly registryCalls = new Counter({
    name: "pistachioway_registry_calls_total",
    help: "Calls of the registry by call and result.",
    labelNames: ["call", "result"],
    registers: [this.registry],
  });

  readonly upstreamNotices = new Counter({
    name: "pistachioway_upstream_notices_total",
    help: "Upstreams that announced that they leave or want no requests for a time, by kind.",
    labelNames: ["kind"],
    registers: [this.registry],
  });

  readonly coldUpstreams = new Gauge({
    name: "pistachioway_cold_upstreams",
    help: "Upstreams that this router takes for cold, so that it sends them only its share of the rate that they take.",
    registers: [this.registry],
  });

  readonly pacedUpstreams = new Gauge({
    name: "pistachioway_paced_upstreams",
    help: "Upstreams that have started or recovered and are sent more only as they answer in time.",
    registers: [this.registry],
  });

  readonly quarantines = new Counter({
    name: "pistachioway_quarantines_total",
    help: "Quarantines of contents of requests that started, and that a served request ended, by kind.",
    labelNames: ["kind"],
    registers: [this.registry],
  });

  readonly forwardedRequests = new Counter({
    name: "pistachioway_forwarded_requests_total",
    help: "Requests sent to peers because this router reaches no upstream of their service, by result.",
    labelNames: ["result"],
    registers: [this.registry],
  });

  readonly takenOverRequests = new Counter({
    name: "pistachioway_taken_over_requests_total",
    help: "Requests of peers that were taken over, and connections and requests that were refused.",
    labelNames: ["result"],
    registers: [this.registry],
  });

  readonly refusedDatagrams = new Counter({
    name: "pistachioway_refused_datagrams_total",
    help: "Datagrams that are no message of another daemon of this version.",
    registers: [this.registry],
  });

  readonly skippedDatagramParts = new Counter({
    name: "pistachioway_skipped_datagram_parts_total",
    help: "States and notices in datagrams that were passed over, such as those of a later build.",
    registers: [this.registry],
  });

  readonly waitingNotices = new Gauge({
    name: "pistachioway_waiting_notices",
    help: "Notices to the other daemons that no datagram has held yet, by kind.",
    labelNames: ["kind"],
    registers: [this.registry],
  });

  readonly oldestWaitingNotice = new Gauge({
    name: "pistachioway_oldest_waiting_notice_seconds",
    help: "Age of the oldest notice to the other daemons that no datagram has held yet, by kind.",
    labelNames: ["kind"],
    registers: [this.registry],
  });

  readonly droppedNotices = new Counter({
    name: "pistachioway_dropped_notices_total",
    help: "Notices to the other daemons that were dropped before any datagram held them, by kind.",
    labelNames: ["kind"],
    registers: [this.registry],
  });

  readonly registryEra = new Gauge({
    name: "pistachioway_registry_era",
    help: "Era of the registry; it rises when the registry was restored from a copy. -1 when unknown.",
    registers: [this.registry],
  });

  readonly evacuatedZones = new Gauge({
    name: "pistachioway_evacuated_zones",
    help: "Zones that operators have evacuated, as this router knows.",
    registers: [this.registry],
  });

  readonly configurationVersion = new Gauge({
    name: "pistachioway_configuration_version",
    help: "Version of the configuration in force.",
    registers: [this.registry],
  });

  readonly configurationAge = new Gauge({
    name: "pistachioway_configuration_age_seconds",
    help: "Time since the configuration in force was last known to be the newest.",
    registers: [this.registry],
  });

  readonly connections = new Gauge({
    name: "pistachioway_upstream_connections_opened",
    help: "Connections to upstreams that were opened since the start.",
    registers: [this.registry],
  });

  readonly readingMilliseconds = new Gauge({
    name: "pistachioway_reading_milliseconds_per_1000_tokens",
    help: "Expected time in which engines of a work-aware service read 1,000 tokens of a prompt.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  readonly fixedMilliseconds = new Gauge({
    name: "pistachioway_first_byte_fixed_milliseconds",
    help: "Expected time to the first byte that does not depend on the prompt, by work-aware service.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  readonly lateMilliseconds = new Gauge({
    name: "pistachioway_first_byte_late_milliseconds",
    help: "Time by which first bytes are later than expected at the moment, by work-aware service.",
    labelNames: ["service"],
    registers: [this.registry],
  });

  private constructor() {
    // Instances are created by the static method.
  }

  /** Creates the metrics in a new registry. */
  static create(): RouterMetrics {
    return new RouterMetrics();
  }
}
