import type { Instant, Team } from "@pistachioway/kernel";
import type { ConfigurationIndex } from "../state/index.js";

/** An authenticated request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly team: Team;
  /** The configuration that the whole request runs under. */
  readonly configuration: ConfigurationIndex;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  readonly arrivedAt: Instant;
  readonly deadline: Instant;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}
