import type { ChatDirectory } from "./ChatDirectory.js";
import type { LoadLedger } from "./LoadLedger.js";
import type { PlacementEffect } from "./messages.js";
import type { Outbox } from "./Outbox.js";
import type { PlacementStrategy } from "./strategy.js";

/** Milliseconds between digests of few daemons. */
export const minDigestIntervalMilliseconds = 350;

/** What the parts of one daemon's placement share. */
export interface PlacementContext {
  readonly daemon: string;
  readonly strategy: PlacementStrategy;
  readonly ledger: LoadLedger;
  readonly outbox: Outbox;
  readonly directory: ChatDirectory;
  /** Largest load of an engine as a multiple of the mean. */
  bound: number;
  /** Number of live daemons, this one included. */
  daemonCount: number;
  /** Milliseconds between digests; longer when there are many daemons. */
  digestInterval: number;
  /** Effects of the message that is being handled. */
  effects: PlacementEffect[];
}
