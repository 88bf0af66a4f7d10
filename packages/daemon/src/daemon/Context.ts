import { Kernel, type Instant } from "@pistachioway/kernel";
import { randomInt, randomUUID } from "node:crypto";
import type { TaskError } from "../lifecycle/TaskError.js";
import { TaskWatch } from "../lifecycle/TaskWatch.js";
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
  /** Watches the tasks of the process. */
  readonly watch: TaskWatch;
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
 * @param onTaskFailed - Called once, when a task does not go on.
 */
export function createContext(
  settings: Settings,
  getPhase: () => DaemonPhase,
  onTaskFailed: (error: TaskError) => void,
): Context {
  const getNow = (): Instant => Date.now();
  const { disabledGuards } = settings.experiments;
  const timeline = Timeline.create(getNow);
  const log = Log.create(settings.log.level, { process: settings.process.name });
  const metrics = Metrics.create();
  const recorder = Recorder.create(timeline, log);
  return {
    settings,
    incarnation: randomUUID().slice(0, incarnationLength),
    startedAt: getNow(),
    getNow,
    getPhase,
    kernel: Kernel.create(randomInt(maxSeed)),
    metrics,
    timeline,
    recorder,
    connections: Connections.create(!disabledGuards.includes(responseAttemptGuard)),
    watch: TaskWatch.create({
      onFailed: onTaskFailed,
      onFailedTurn: (task) => {
        metrics.failedTurns.inc({ task });
      },
      record: (level, event, fields) => {
        recorder.record(event, fields, level);
      },
    }),
    disabledGuards,
  };
}
