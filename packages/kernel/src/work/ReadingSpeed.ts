import {
  firstFixedMilliseconds,
  keptSamples,
  longPromptTokens,
  neededSamples,
  sampleQuantile,
  shortestMillisecondsPerToken,
  shortPromptTokens,
} from "./constants.js";
import { getQuantile } from "./getQuantile.js";

/** How fast the engines of a service read prompts on hosts at their usual speed. */
export interface ReadingEstimate {
  /** Milliseconds for each unread token. */
  readonly millisecondsPerToken: number;
  /** Milliseconds of the first byte that do not depend on the prompt. */
  readonly fixedMilliseconds: number;
}

interface ReadingSample {
  readonly tokens: number;
  readonly milliseconds: number;
}

/** Learns the reading speed of the engines of one service from the times of first bytes. */
export class ReadingSpeed {
  private longSamples: readonly ReadingSample[] = [];
  private shortSamples: readonly number[] = [];
  private estimate: ReadingEstimate | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a speed that is not known. */
  static create(): ReadingSpeed {
    return new ReadingSpeed();
  }

  /**
   * Adds the time to the first byte of a request.
   * @param tokens - Tokens of its prompt that the engine had not cached, as far as was known.
   * @param milliseconds - The time, divided by the slowdown of the host.
   */
  addSample(tokens: number, milliseconds: number): void {
    if (tokens >= longPromptTokens) {
      this.longSamples = [...this.longSamples, { tokens, milliseconds }].slice(-keptSamples);
    } else if (tokens < shortPromptTokens) {
      this.shortSamples = [...this.shortSamples, milliseconds].slice(-keptSamples);
    } else {
      return;
    }
    this.estimate = this.createEstimate();
  }

  /** Gets the estimate; undefined until it is known. */
  getEstimate(): ReadingEstimate | undefined {
    return this.estimate;
  }

  private createEstimate(): ReadingEstimate | undefined {
    const isFixedKnown = this.shortSamples.length >= neededSamples;
    const fixedMilliseconds = isFixedKnown
      ? (getQuantile(this.shortSamples, sampleQuantile) ?? firstFixedMilliseconds)
      : firstFixedMilliseconds;
    const speeds = this.longSamples
      .map(({ tokens, milliseconds }) => (milliseconds - fixedMilliseconds) / tokens)
      .filter((speed) => speed >= shortestMillisecondsPerToken);
    const millisecondsPerToken =
      speeds.length >= neededSamples ? getQuantile(speeds, sampleQuantile) : undefined;
    return millisecondsPerToken === undefined
      ? undefined
      : { millisecondsPerToken, fixedMilliseconds };
  }
}
