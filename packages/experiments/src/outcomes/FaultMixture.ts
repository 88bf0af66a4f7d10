import { answerFaults, type AnswerFault, type AnswerFaultName } from "./answerFaults.js";

/** How often each fault is drawn beside the others. */
export type FaultWeights = Readonly<Partial<Record<AnswerFaultName, number>>>;

interface Part {
  readonly fault: AnswerFault;
  /** Upper end of the part of [0, 1) for which the fault is drawn. */
  readonly end: number;
}

/** Faults of an engine's answers, which are drawn by their weights; the variants of a fault are equally likely. */
export class FaultMixture {
  private constructor(private readonly parts: readonly Part[]) {}

  /**
   * Creates a mixture. The variants of several faults are named after their fault, so that they stay distinct.
   * @param weights - Weights of its faults; there is no fault if there are none.
   */
  static create(weights: FaultWeights): FaultMixture {
    const entries = Object.entries(weights) as [AnswerFaultName, number][];
    const total = entries.reduce((sum, [, weight]) => sum + weight, 0);
    const parts: Part[] = [];
    let start = 0;
    for (const [name, weight] of entries) {
      const variants: readonly AnswerFault[] = answerFaults[name];
      const share = weight / total;
      variants.forEach((each, index) => {
        const variant = entries.length > 1 ? `${name}.${each.variant}` : each.variant;
        const end = start + (share * (index + 1)) / variants.length;
        parts.push({ fault: { ...each, variant }, end });
      });
      start += share;
    }
    return new FaultMixture(parts);
  }

  /**
   * Draws a fault.
   * @param number - Number that decides; above 1 there is no fault.
   */
  pick(number: number): AnswerFault | undefined {
    return this.parts.find(({ end }) => number < end)?.fault;
  }
}
