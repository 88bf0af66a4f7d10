import type { Chat } from "./workload.js";

/** One attempt of a chat's request. */
export interface TrafficRequest {
  readonly id: string;
  readonly chat: Chat;
  readonly daemon: number;
  readonly promptTokens: number;
  readonly isFirstTurn: boolean;
  /** Engines that were tried already. */
  readonly exclude: readonly number[];
  /** Engine that runs the request. */
  engine: number | undefined;
  isFinished: boolean;
}
