import {
  findPrefixSource,
  type PrefixSource,
  type ResponseHead,
  type UpstreamChoice,
} from "@pistachioway/kernel";
import { getSourceLookup, type AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";

/** Lowest status of an answer that does not show that the prompt was read. */
export const firstErrorStatus = 400;

/** State of a daemon that the reading of prompts changes. */
export type PromptReadingState = Pick<
  ActiveRequestDependencies,
  "upstreams" | "prefixes" | "metrics" | "addFleetNotice"
>;

/**
 * The reading of a prompt by the engine that one attempt sends it to, in a service that is placed by work. The engine
 * counts as a holder of the shared blocks once it has begun to answer.
 */
export class PromptReading {
  private isEnded = false;

  private constructor(
    private readonly state: PromptReadingState,
    private readonly blocks: readonly number[],
    private readonly choice: UpstreamChoice,
    /** Where the engine gets the shared blocks from. */
    readonly source: PrefixSource,
  ) {}

  /**
   * Marks the shared blocks of a prompt as being read.
   * @param state - State of the daemon.
   * @param request - Request that is about to be sent.
   * @param choice - Engine that it is sent to.
   * @param now - Monotonic time.
   */
  static start(
    state: PromptReadingState,
    request: Pick<AcceptedRequest, "head" | "service">,
    choice: UpstreamChoice,
    now: number,
  ): PromptReading {
    const lookup = getSourceLookup(request, now);
    const { sharedBlocks } = lookup;
    const source = findPrefixSource(state, lookup, choice.entry, choice.preferred);
    state.metrics.promptSources.inc({ source: source.kind });
    state.prefixes.startReading(sharedBlocks, choice.entry);
    return new PromptReading(state, sharedBlocks, choice, source);
  }

  /**
   * Records the head of the response: an answer to the request shows that the prompt was read.
   * @param head - The head.
   * @param now - Monotonic time.
   */
  recordHead({ meaning, status }: ResponseHead, now: number): void {
    const { blocks, choice, state, isEnded } = this;
    const block = blocks.at(-1);
    this.end();
    if (isEnded || block === undefined || meaning !== "final" || status >= firstErrorStatus) {
      return;
    }
    if (state.prefixes.addHolder(blocks, choice.entry, now)) {
      const { hash: upstream } = choice.entry;
      state.addFleetNotice({ kind: "prefix", block, upstream, at: now });
    }
  }

  /** Records that the attempt has ended; further calls do nothing. */
  end(): void {
    if (!this.isEnded) {
      this.isEnded = true;
      this.state.prefixes.endReading(this.blocks, this.choice.entry);
    }
  }
}
