import type { CachedPrefix, FailRequestEffect, Instant, RetryEffect } from "@pistachioway/kernel";
import type { ResponseWriter } from "../callers/ResponseWriter.js";
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
import { mayHaveRun, toAttemptedProblem } from "../upstreams/index.js";
import type { CallerQuarantine } from "../quarantine/index.js";
import type { Recorder } from "../timeline/index.js";
import { ChatAttempt, type FailedChatAttempt } from "./ChatAttempt.js";
import { getChatContent } from "./getChatContent.js";
import type { ChatRequest } from "./ChatRequest.js";
import type { EngineClient } from "./EngineClient.js";
import { parseChatOrThrow } from "./parseChat.js";
import type { Usage } from "./StreamRelay.js";

/** The dependencies of the task. */
export interface ChatDependencies {
  readonly admission: AdmissionTask;
  readonly placement: PlacementTask;
  readonly retries: RetryTask;
  readonly engines: EngineClient;
  readonly hosts: HostDirectory;
  readonly quarantine: CallerQuarantine;
  /** Checks whether any engine of a model is known to accept requests. */
  readonly isServed: (model: string) => boolean;
  readonly recorder: Recorder;
  readonly createAttemptId: () => string;
  /** Receives the token counts of each attempt. */
  readonly onUsage: (usage: Usage | undefined) => void;
  readonly wait: (until: Instant, signal: AbortSignal) => Promise<void>;
}

const costOfRequest = 1;

/** Serves chat completions: admission, engine selection, attempts, retries and the response. */
export class ChatTask {
  private constructor(private readonly dependencies: ChatDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - The dependencies of the task.
   */
  static create(dependencies: ChatDependencies): ChatTask {
    return new ChatTask(dependencies);
  }

  /**
   * Serves one request until its response is complete.
   * @param request - Request of the caller.
   * @param writer - Writes the response.
   * @throws Problem when the request fails.
   */
  async run(request: CallerRequest, writer: ResponseWriter): Promise<void> {
    const chat = parseChatOrThrow(request);
    this.dependencies.recorder.record("chat.arrived", {
      request: request.id,
      chat: chat.chatId,
      team: request.team.name,
      model: chat.body.model,
    });
    await this.dependencies.admission.admit(request, costOfRequest);
    try {
      await this.dependencies.retries.run(request.id, () => this.runAttempts(chat, writer));
    } finally {
      this.dependencies.admission.finish(request.id);
    }
  }

  private async runAttempts(chat: ChatRequest, writer: ResponseWriter): Promise<void> {
    for (;;) {
      const decision = await this.runAttempt(chat, writer);
      if (decision === undefined) {
        return;
      }
      chat.excludedEngines = decision.exclude;
      await this.dependencies.wait(decision.at, chat.request.signal);
    }
  }

  /** Runs one attempt; resolves to undefined when the request needs no further attempt. */
  private async runAttempt(
    chat: ChatRequest,
    writer: ResponseWriter,
  ): Promise<RetryEffect | undefined> {
    const attemptId = this.dependencies.createAttemptId();
    const placed = await this.placeOrThrow(chat, attemptId);
    chat.attemptCount += 1;
    const attempt = ChatAttempt.create(this.dependencies.engines, chat, attemptId, placed, writer);
    try {
      return await this.runWithResumes(chat, attempt);
    } finally {
      this.dependencies.placement.finish(attemptId, attempt.getUsage()?.cachedTokens);
      this.dependencies.onUsage(attempt.getUsage());
    }
  }

  /** Runs an attempt and resumes its stream as long as the kernel decides so. */
  private async runWithResumes(
    chat: ChatRequest,
    attempt: ChatAttempt,
  ): Promise<RetryEffect | undefined> {
    let result = await attempt.run();
    while (result.kind === "failed") {
      this.recordFailure(chat, result);
      chat.hasUnknownAttempt ||= mayHaveRun(result.failure);
      this.dependencies.quarantine.recordFailure({
        content: getChatContent(chat),
        upstream: result.engine,
        requestId: chat.request.id,
        failure: result.failure,
      });
      const decision = this.dependencies.retries.decide(toFailedAttempt(chat, result));
      if (decision.kind === "giveUp") {
        attempt.cancel();
        throw toProblem(result, decision);
      }
      if (decision.kind === "retry") {
        return decision;
      }
      await this.dependencies.wait(decision.at, chat.request.signal);
      result = await attempt.resume();
    }
    if (result.kind === "complete") {
      this.dependencies.quarantine.recordAnswer(getChatContent(chat));
    }
    return undefined;
  }

  private async placeOrThrow(chat: ChatRequest, attemptId: string): Promise<EnginePlacement> {
    try {
      return await this.place(chat, attemptId);
    } catch (error) {
      throw chat.hasUnknownAttempt ? toAttemptedProblem(error) : error;
    }
  }

  private async place(chat: ChatRequest, attemptId: string): Promise<EnginePlacement> {
    this.dependencies.quarantine.checkOrThrow(
      getChatContent(chat),
      `model "${chat.body.model}"`,
      chat.attemptCount,
    );
    await this.waitForEngines(chat);
    const placed = await this.dependencies.placement.place({
      attemptId,
      chat: chat.engineChatId,
      model: chat.body.model,
      promptTokens: chat.promptTokens,
      isFirstTurn: chat.isFirstTurn,
      cached: getCached(chat),
      excluded: chat.excludedEngines,
    });
    this.recordPlaced(chat, attemptId, placed);
    return placed;
  }

  /**
   * After a start or a pause of the process, waits until the state of the model's engines is known.
   */
  private async waitForEngines({ request, body }: ChatRequest): Promise<void> {
    if (this.dependencies.hosts.isStale() || !this.dependencies.isServed(body.model)) {
      const engines = request.configuration.getEngines(body.model);
      await this.dependencies.hosts.getUsable(engines, request.deadline, request.signal);
    }
  }

  private recordPlaced(chat: ChatRequest, attemptId: string, placed: EnginePlacement): void {
    this.dependencies.recorder.record("chat.placed", {
      request: chat.request.id,
      chat: chat.chatId,
      attempt: attemptId,
      engine: placed.engine,
      reason: placed.reason,
    });
  }

  private recordFailure(chat: ChatRequest, failed: FailedChatAttempt): void {
    this.dependencies.recorder.record("chat.attempt-failed", {
      request: chat.request.id,
      chat: chat.chatId,
      engine: failed.engine,
      class: failed.failure.class,
      detail: failed.failure.detail,
    });
  }
}

/**
 * Gets the prefix that the caller's hint implies: the last engine has the earlier turns in its
 * cache.
 */
function getCached({ lastEngine, promptTokens }: ChatRequest): readonly CachedPrefix[] {
  return lastEngine === undefined ? [] : [{ engine: lastEngine, tokens: promptTokens }];
}

function toFailedAttempt(chat: ChatRequest, failed: FailedChatAttempt): FailedAttempt {
  return {
    requestId: chat.request.id,
    class: failed.failure.class,
    host: failed.engine,
    attempt: chat.attemptCount,
    repeatable: true,
    firstByteSent: failed.resumeOffset !== undefined,
    deadline: chat.request.deadline,
    resumeOffset: failed.resumeOffset,
  };
}

function toProblem(failed: FailedChatAttempt, decision: FailRequestEffect): Problem {
  const { outcome, retryAt, error } = decision;
  const detail = `engine "${failed.engine}": ${failed.failure.detail}; ${error.message}`;
  return Problem.create(getProblemName(failed, outcome), detail, outcome, retryAt);
}

function getProblemName(
  failed: FailedChatAttempt,
  outcome: FailRequestEffect["outcome"],
): ProblemName {
  if (failed.resumeOffset !== undefined) {
    return "answer-interrupted";
  }
  switch (failed.failure.class) {
    case "timeout":
      return "deadline-exceeded";
    case "neverSent":
    case "refused":
      return outcome === "not-run" ? "upstream-refused" : "upstream-failed";
    default:
      return "upstream-failed";
  }
}
