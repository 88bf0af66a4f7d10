import { FencingRangeError } from "./FencingRangeError.js";

const revisionCount = 2 ** 32;
const generationCount = 2 ** 21;

/** The fields of a revision by which configurations are ordered. */
export interface FencingPosition {
  readonly generation: number;
  readonly revision: number;
}

/**
 * Gets the fencing token of a revision: a safe integer that increases with the generation, and
 * within a generation with the revision.
 * @param position - Generation and revision.
 * @throws FencingRangeError when they do not fit.
 */
export function getFencingToken({ generation, revision }: FencingPosition): number {
  if (generation >= generationCount || revision >= revisionCount) {
    throw new FencingRangeError(generation, revision);
  }
  return generation * revisionCount + revision;
}
