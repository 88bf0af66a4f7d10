import type { Chat } from "./workload.js";

/** One attempt at a request of a chat. */
export interface TrafficRequest {
  readonly id: string;
  readonly chat: Chat;
  readonly daemon: number;
  readonly promptTokens: number;
  readonly isFirstTurn: boolean;
  /** Indexes of the engines that were already tried. */
  readonly exclude: readonly number[];
  /** Index of the engine that runs the request. */
  engine: number | undefined;
  isFinished: boolean;
}
