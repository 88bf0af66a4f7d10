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

/** The engine that serves an attempt. */
export interface Placed {
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

/** What the task works with. */
export interface PlacementParts {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  /** Sends a message to the placement plug-in of another daemon. */
  readonly send: (to: string, message: PlacementPeerMessage) => void;
  readonly onPlaced: (placed: Placed) => void;
}

type Settle = (result: Placed | Problem) => void;

const returnMilliseconds = 1_000;

/** Owns the placement plug-in, and the attempts that wait for an engine. */
export class PlacementTask {
  private readonly waiting = new Map<string, Settle>();
  private explained: ExplainedEffect | undefined;

  private constructor(private readonly parts: PlacementParts) {}

  /**
   * Creates the task.
   * @param parts - What the task works with.
   */
  static create(parts: PlacementParts): PlacementTask {
    return new PlacementTask(parts);
  }

  /**
   * Chooses an engine; it counts as loaded until `finish`.
   * @param request - Request for an engine.
   * @throws Problem `no-upstream` when no engine takes the request.
   */
  async place(request: PlacementRequest): Promise<Placed> {
    const result = await new Promise<Placed | Problem>((resolve) => {
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
   * @param cachedTokens - Prompt tokens that the engine's cache held, where known.
   */
  finish(attemptId: string, cachedTokens: number | undefined): void {
    this.send({ kind: "finished", requestId: attemptId, cachedTokens });
  }

  /**
   * Tells where a chat would go.
   * @param chat - Id of the chat.
   * @param model - Model that serves it.
   */
  explain(chat: string, model: string): ExplainedEffect | undefined {
    this.explained = undefined;
    this.send({ kind: "explain", chat, model });
    return this.explained;
  }

  /**
   * Hands a message to the plug-in and carries out the effects.
   * @param message - Message to handle.
   */
  send(message: PlacementMessage): void {
    const effects = this.parts.kernel.send(placementPlugin, message, this.parts.getNow());
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: PlacementEffect): void {
    switch (effect.kind) {
      case "send":
        this.parts.send(effect.to, effect.message);
        return;
      case "placed":
        this.parts.onPlaced(effect);
        this.settle(effect.requestId, { engine: effect.engine, reason: effect.reason });
        return;
      case "unplaceable":
        this.settle(effect.requestId, this.toProblem(effect.reason));
        return;
      case "explained":
        this.explained = effect;
    }
  }

  private settle(attemptId: string, result: Placed | Problem): void {
    const resolve = this.waiting.get(attemptId);
    this.waiting.delete(attemptId);
    resolve?.(result);
  }

  private toProblem(reason: string): Problem {
    const retryAt = this.parts.getNow() + returnMilliseconds;
    return Problem.create(
      "no-upstream",
      `no engine takes the request: ${reason}`,
      "not-run",
      retryAt,
    );
  }
}
