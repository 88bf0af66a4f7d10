import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from "prom-client";

const durationBucketsSeconds = [
  0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.37, 0.5, 1, 2.5, 5, 10, 30, 60, 120,
];

/** The metrics that a daemon exports. */
export class Metrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: "pistachioway_requests_total",
    help: "Requests of callers by kind, outcome and problem.",
    labelNames: ["kind", "outcome", "problem"],
    registers: [this.registry],
  });

  readonly requestDuration = new Histogram({
    name: "pistachioway_request_duration_seconds",
    help: "Time from the arrival of a request to the end of its answer.",
    labelNames: ["kind"],
    buckets: durationBucketsSeconds,
    registers: [this.registry],
  });

  readonly firstByte = new Histogram({
    name: "pistachioway_first_byte_seconds",
    help: "Time from the arrival of a chat request to the first byte of its answer.",
    buckets: durationBucketsSeconds,
    registers: [this.registry],
  });

  readonly attempts = new Counter({
    name: "pistachioway_attempts_total",
    help: "Attempts at upstreams by kind of upstream and result.",
    labelNames: ["kind", "result"],
    registers: [this.registry],
  });

  readonly placements = new Counter({
    name: "pistachioway_placements_total",
    help: "Placements of chat requests by reason.",
    labelNames: ["reason"],
    registers: [this.registry],
  });

  readonly promptTokens = new Counter({
    name: "pistachioway_prompt_tokens_total",
    help: "Prompt tokens as engines report them, by whether the cache held them.",
    labelNames: ["source"],
    registers: [this.registry],
  });

  readonly configurationRevision = new Gauge({
    name: "pistachioway_configuration_revision",
    help: "Revision of the configuration in force.",
    registers: [this.registry],
  });

  readonly configurationRefused = new Counter({
    name: "pistachioway_configuration_refused_total",
    help: "Published configurations that were refused.",
    registers: [this.registry],
  });

  readonly platformCalls = new Counter({
    name: "pistachioway_platform_calls_total",
    help: "Calls of the platform by value and result.",
    labelNames: ["value", "result"],
    registers: [this.registry],
  });

  readonly controlBytes = new Counter({
    name: "pistachioway_control_bytes_total",
    help: "Bytes of control traffic by channel and direction, headers included.",
    labelNames: ["channel", "direction"],
    registers: [this.registry],
  });

  readonly controlParts = new Counter({
    name: "pistachioway_control_parts_total",
    help: "Parts of digests sent to other daemons, by topic.",
    labelNames: ["topic"],
    registers: [this.registry],
  });

  readonly droppedMessages = new Counter({
    name: "pistachioway_peer_messages_dropped_total",
    help: "Messages from peers that were dropped, by reason.",
    labelNames: ["reason"],
    registers: [this.registry],
  });

  readonly upstreams = new Gauge({
    name: "pistachioway_upstreams",
    help: "Upstream hosts by state.",
    labelNames: ["state"],
    registers: [this.registry],
  });

  readonly failedTurns = new Counter({
    name: "pistachioway_failed_turns_total",
    help: "Turns of the process's own periodic tasks that failed, by task.",
    labelNames: ["task"],
    registers: [this.registry],
  });

  private constructor() {
    collectDefaultMetrics({ register: this.registry });
  }

  /** Creates the metrics in a new registry. */
  static create(): Metrics {
    return new Metrics();
  }
}
