/**
 * How upstreams respond:
 * - `well`: as they should.
 * - `refusing`: with a refusal, and they run nothing; `resting`: with the wish for a rest, too.
 * - `mute`: not at all; `failing`: with status 500; `torn`: with a connection that closes within the response; `extra`: with a
 *   second response that no request asked for.
 * - `unproven`: they run the request and answer with a status that promises that it did not run, without the statement
 *   that it did not; `unproven-torn`: the same, and the connection closes after the head.
 * - `stray-foreign`, `stray-nameless`, `stray-earlier`: they run the request, and an earlier refusal comes before its
 *   answer: that of another request, one without an id, or that of the same request on the same connection.
 * - `stated-result`, `stated-empty`, `stated-twice`: they run the request and answer with a statement that it did not
 *   run: on a result, without a value, or with two values.
 * - `endless`: they run the request and answer with an error without end, in small pieces; `endless-event`: with a stream that
 *   has no event and no end, or with an error in large pieces.
 * - `reset-unframed`: they run the request, answer with neither a length nor chunks, and reset the connection right behind a
 *   piece of the answer while they go on serving.
 * - `early`: they answer while the body still comes, and run the request, or refuse it properly, afterwards.
 */
export const upstreamModes = [
  "well",
  "refusing",
  "resting",
  "mute",
  "failing",
  "torn",
  "extra",
  "unproven",
  "unproven-torn",
  "stray-foreign",
  "stray-nameless",
  "stray-earlier",
  "stated-result",
  "stated-empty",
  "stated-twice",
  "endless",
  "endless-event",
  "reset-unframed",
  "early",
] as const;

export type UpstreamMode = (typeof upstreamModes)[number];
