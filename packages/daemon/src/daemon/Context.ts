import { Kernel, type Instant } from "@pistachioway/kernel";
import { randomInt, randomUUID } from "node:crypto";
import { Log } from "../log/index.js";
import { Metrics } from "../metrics/index.js";
import type { DaemonPhase } from "../operations/index.js";
import type { Settings } from "../settings/index.js";
import { Recorder, Timeline } from "../timeline/index.js";
import { Connections } from "../upstreams/index.js";

/** What all tasks of a daemon share. */
export interface Context {
  readonly settings: Settings;
  /** Identifies this start of the daemon in the keys of its acts. */
  readonly incarnation: string;
  readonly startedAt: Instant;
  readonly getNow: () => Instant;
  readonly getPhase: () => DaemonPhase;
  readonly kernel: Kernel;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly recorder: Recorder;
  readonly connections: Connections;
  /** Guards that a test switches off; empty in production. */
  readonly disabledGuards: readonly string[];
}

/** Guard that accepts a response only if it carries the id of the attempt. */
const responseAttemptGuard = "answer-attempt-id";
const maxSeed = 2 ** 31;
const incarnationLength = 8;

/**
 * Creates what the tasks of a daemon share.
 * @param settings - Validated settings.
 * @param getPhase - Gets the phase of the daemon's lifecycle.
 */
export function createContext(settings: Settings, getPhase: () => DaemonPhase): Context {
  const getNow = (): Instant => Date.now();
  const { disabledGuards } = settings.experiments;
  const timeline = Timeline.create(getNow);
  const log = Log.create(settings.log.level, { process: settings.process.name });
  return {
    settings,
    incarnation: randomUUID().slice(0, incarnationLength),
    startedAt: getNow(),
    getNow,
    getPhase,
    kernel: Kernel.create(randomInt(maxSeed)),
    metrics: Metrics.create(),
    timeline,
    recorder: Recorder.create(timeline, log),
    connections: Connections.create(!disabledGuards.includes(responseAttemptGuard)),
    disabledGuards,
  };
}
