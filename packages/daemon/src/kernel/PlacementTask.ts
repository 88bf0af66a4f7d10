import {
  placementPlugin,
  type CachedPrefix,
  type ExplainedEffect,
  type Instant,
  type Kernel,
  type PlacementEffect,
  type PlacementPeerMessage,
  type PlacementMessage,
  type PlacementReason,
} from "@pistachioway/kernel";
import { Problem } from "../errors/index.js";

/** The engine that serves an attempt, and why it was chosen. */
export interface EnginePlacement {
  readonly engine: string;
  readonly reason: PlacementReason;
}

/** A request for an engine. */
export interface PlacementRequest {
  readonly attemptId: string;
  readonly chat: string;
  readonly model: string;
  readonly promptTokens: number;
  readonly isFirstTurn: boolean;
  readonly cached: readonly CachedPrefix[];
  readonly excluded: readonly string[];
}

/** What the task depends on. */
export interface PlacementDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  /** Sends a message to the placement plug-in of another daemon. */
  readonly send: (to: string, message: PlacementPeerMessage) => void;
  readonly onPlaced: (placed: EnginePlacement) => void;
}

type SettleCallback = (result: EnginePlacement | Problem) => void;

const retryDelayMilliseconds = 1_000;

/** Runs the placement plug-in, and holds the attempts that wait for an engine. */
export class PlacementTask {
  private readonly waiting = new Map<string, SettleCallback>();
  private explained: ExplainedEffect | undefined;

  private constructor(private readonly dependencies: PlacementDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: PlacementDependencies): PlacementTask {
    return new PlacementTask(dependencies);
  }

  /**
   * Chooses an engine. The request counts towards its load until `finish` is called.
   * @param request - Request for an engine.
   * @throws Problem `no-upstream` when no engine accepts the request.
   */
  async place(request: PlacementRequest): Promise<EnginePlacement> {
    const result = await new Promise<EnginePlacement | Problem>((resolve) => {
      this.waiting.set(request.attemptId, resolve);
      this.send({
        kind: "place",
        requestId: request.attemptId,
        chat: request.chat,
        model: request.model,
        tokens: request.promptTokens,
        cachedHint: request.cached,
        isFirstTurn: request.isFirstTurn,
        exclude: request.excluded,
      });
    });
    if (result instanceof Problem) {
      throw result;
    }
    return result;
  }

  /**
   * Reports the end of an attempt.
   * @param attemptId - Attempt that was placed.
   * @param cachedTokens - Prompt tokens that were in the engine's cache, if known.
   */
  finish(attemptId: string, cachedTokens: number | undefined): void {
    this.send({ kind: "finished", requestId: attemptId, cachedTokens });
  }

  /**
   * Gets the engine that a chat would be sent to, and why.
   * @param chat - Id of the chat.
   * @param model - Model that serves it.
   */
  explain(chat: string, model: string): ExplainedEffect | undefined {
    this.explained = undefined;
    this.send({ kind: "explain", chat, model });
    return this.explained;
  }

  /**
   * Sends a message to the plug-in and carries out its effects.
   * @param message - Message to handle.
   */
  send(message: PlacementMessage): void {
    const effects = this.dependencies.kernel.send(
      placementPlugin,
      message,
      this.dependencies.getNow(),
    );
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: PlacementEffect): void {
    switch (effect.kind) {
      case "send":
        this.dependencies.send(effect.to, effect.message);
        return;
      case "placed":
        this.dependencies.onPlaced(effect);
        this.settle(effect.requestId, { engine: effect.engine, reason: effect.reason });
        return;
      case "unplaceable":
        this.settle(effect.requestId, this.toProblem(effect.reason));
        return;
      case "explained":
        this.explained = effect;
    }
  }

  private settle(attemptId: string, result: EnginePlacement | Problem): void {
    const resolve = this.waiting.get(attemptId);
    this.waiting.delete(attemptId);
    resolve?.(result);
  }

  private toProblem(reason: string): Problem {
    const retryAt = this.dependencies.getNow() + retryDelayMilliseconds;
    return Problem.create(
      "no-upstream",
      `no engine takes the request: ${reason}`,
      "not-run",
      retryAt,
    );
  }
}
