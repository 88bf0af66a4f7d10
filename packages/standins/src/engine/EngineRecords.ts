import type { Instant } from "@pistachioway/kernel";

const maxRequestRecords = 200_000;

/** How the engine decided on a chat request. */
export type RequestOutcome =
  "accepted" | "leaving" | "full" | "unknown-model" | "duplicate-attempt";

/** A chat request that the engine received. */
export interface RequestRecord {
  readonly attempt: string;
  readonly chat: string;
  readonly model: string;
  readonly priority: number;
  readonly at: Instant;
  readonly outcome: RequestOutcome;
}

/** Counts of requests and tokens. */
export interface EngineCounts {
  requests: number;
  accepted: number;
  refused: number;
  completed: number;
  resumed: number;
  cancelled: number;
  promptTokens: number;
  cachedTokens: number;
}

/** What the engine received and did, for tests to check. */
export class EngineRecords {
  readonly counts: EngineCounts = {
    requests: 0,
    accepted: 0,
    refused: 0,
    completed: 0,
    resumed: 0,
    cancelled: 0,
    promptTokens: 0,
    cachedTokens: 0,
  };
  private readonly requests: RequestRecord[] = [];

  private constructor() {
    // Created through the static method.
  }

  /** Creates empty records. */
  static create(): EngineRecords {
    return new EngineRecords();
  }

  /**
   * Adds a chat request. Beyond `maxRequestRecords`, requests are only counted.
   * @param record - Request and its outcome.
   */
  addRequest(record: RequestRecord): void {
    this.counts.requests += 1;
    if (record.outcome === "accepted") {
      this.counts.accepted += 1;
    } else {
      this.counts.refused += 1;
    }
    if (this.requests.length < maxRequestRecords) {
      this.requests.push(record);
    }
  }

  /** Gets the recorded requests, the oldest first. */
  getRequests(): readonly RequestRecord[] {
    return this.requests;
  }
}
