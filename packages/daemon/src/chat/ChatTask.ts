import type { CachedPrefix, FailRequestEffect, Instant, RetryEffect } from "@pistachioway/kernel";
import type { AnswerSink } from "../callers/AnswerSink.js";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem, type ProblemName } from "../errors/index.js";
import type {
  AdmissionTask,
  FailedAttempt,
  HostDirectory,
  PlacementTask,
  EnginePlacement,
  RetryTask,
} from "../kernel/index.js";
import type { Recorder } from "../timeline/index.js";
import { ChatAttempt, type FailedEnd } from "./ChatAttempt.js";
import type { ChatRun } from "./ChatRun.js";
import type { EngineClient } from "./EngineClient.js";
import { parseChatOrThrow } from "./parseChat.js";
import type { Usage } from "./StreamRelay.js";

/** What the task works with. */
export interface ChatParts {
  readonly admission: AdmissionTask;
  readonly placement: PlacementTask;
  readonly retries: RetryTask;
  readonly engines: EngineClient;
  readonly hosts: HostDirectory;
  /** Tells whether any engine of a model is known to take requests. */
  readonly isServed: (model: string) => boolean;
  readonly recorder: Recorder;
  readonly createAttemptId: () => string;
  readonly onUsage: (usage: Usage | undefined) => void;
  readonly wait: (until: Instant, signal: AbortSignal) => Promise<void>;
}

const costOfRequest = 1;

/** Serves chat completions: admits, places, attempts, retries, answers. */
export class ChatTask {
  private constructor(private readonly parts: ChatParts) {}

  /**
   * Creates the task.
   * @param parts - What the task works with.
   */
  static create(parts: ChatParts): ChatTask {
    return new ChatTask(parts);
  }

  /**
   * Serves one request to its end.
   * @param request - Request of the caller.
   * @param sink - Where the answer goes.
   * @throws Problem when the request was given up on.
   */
  async run(request: CallerRequest, sink: AnswerSink): Promise<void> {
    const run = parseChatOrThrow(request);
    this.parts.recorder.record("chat.arrived", {
      request: request.id,
      chat: run.chat,
      team: request.team.name,
      model: run.body.model,
    });
    await this.parts.admission.admit(request, costOfRequest);
    try {
      await this.runAttempts(run, sink);
    } finally {
      this.parts.admission.finish(request.id);
    }
  }

  private async runAttempts(run: ChatRun, sink: AnswerSink): Promise<void> {
    this.parts.retries.start(run.request.id);
    for (;;) {
      const decision = await this.runAttempt(run, sink);
      if (decision === undefined) {
        this.parts.retries.finish(run.request.id);
        return;
      }
      run.excluded = decision.exclude;
      await this.parts.wait(decision.at, run.request.signal);
    }
  }

  /** Runs one attempt; resolves to nothing when the request is over. */
  private async runAttempt(run: ChatRun, sink: AnswerSink): Promise<RetryEffect | undefined> {
    const attemptId = this.parts.createAttemptId();
    const placed = await this.place(run, attemptId);
    run.attempts += 1;
    const attempt = ChatAttempt.create(this.parts.engines, run, attemptId, placed, sink);
    try {
      return await this.followAttempt(run, attempt);
    } finally {
      this.parts.placement.finish(attemptId, attempt.getUsage()?.cachedTokens);
      this.parts.onUsage(attempt.getUsage());
    }
  }

  /** Runs an attempt and resumes its stream while the kernel allows it. */
  private async followAttempt(
    run: ChatRun,
    attempt: ChatAttempt,
  ): Promise<RetryEffect | undefined> {
    let end = await attempt.run();
    while (end.kind === "failed") {
      this.recordFailure(run, end);
      const decision = this.parts.retries.decide(toFailedAttempt(run, end));
      if (decision.kind === "giveUp") {
        attempt.cancel();
        throw toProblem(end, decision);
      }
      if (decision.kind === "retry") {
        return decision;
      }
      await this.parts.wait(decision.at, run.request.signal);
      end = await attempt.resume();
    }
    return undefined;
  }

  private async place(run: ChatRun, attemptId: string): Promise<EnginePlacement> {
    await this.waitForEngines(run);
    const placed = await this.parts.placement.place({
      attemptId,
      chat: run.engineChat,
      model: run.body.model,
      promptTokens: run.promptTokens,
      isFirstTurn: run.isFirstTurn,
      cached: getCached(run),
      excluded: run.excluded,
    });
    this.recordPlaced(run, attemptId, placed);
    return placed;
  }

  /** Waits, after a start or a pause, until the state of the model's engines is known. */
  private async waitForEngines({ request, body }: ChatRun): Promise<void> {
    if (this.parts.hosts.isStale() || !this.parts.isServed(body.model)) {
      const engines = request.index.getEngines(body.model);
      await this.parts.hosts.getUsable(engines, request.deadline, request.signal);
    }
  }

  private recordPlaced(run: ChatRun, attemptId: string, placed: EnginePlacement): void {
    this.parts.recorder.record("chat.placed", {
      request: run.request.id,
      chat: run.chat,
      attempt: attemptId,
      engine: placed.engine,
      reason: placed.reason,
    });
  }

  private recordFailure(run: ChatRun, end: FailedEnd): void {
    this.parts.recorder.record("chat.attempt-failed", {
      request: run.request.id,
      chat: run.chat,
      engine: end.engine,
      class: end.failure.class,
      detail: end.failure.detail,
    });
  }
}

/** Gets what the caller's hint says of caches: the last engine holds the earlier turns. */
function getCached({ lastEngine, promptTokens }: ChatRun): readonly CachedPrefix[] {
  return lastEngine === undefined ? [] : [{ engine: lastEngine, tokens: promptTokens }];
}

function toFailedAttempt(run: ChatRun, end: FailedEnd): FailedAttempt {
  return {
    requestId: run.request.id,
    class: end.failure.class,
    host: end.engine,
    attempt: run.attempts,
    repeatable: true,
    firstByteSent: end.resumeOffset !== undefined,
    deadline: run.request.deadline,
    resumeOffset: end.resumeOffset,
  };
}

function toProblem(end: FailedEnd, decision: FailRequestEffect): Problem {
  const { outcome, retryAt, error } = decision;
  const detail = `engine "${end.engine}": ${end.failure.detail}; ${error.message}`;
  return Problem.create(getProblemName(end), detail, outcome, retryAt);
}

function getProblemName(end: FailedEnd): ProblemName {
  if (end.resumeOffset !== undefined) {
    return "answer-interrupted";
  }
  switch (end.failure.class) {
    case "timeout":
      return "deadline-exceeded";
    case "neverSent":
    case "refused":
      return "upstream-refused";
    default:
      return "upstream-failed";
  }
}
