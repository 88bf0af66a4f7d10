import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";

/** Separates the values of a header that was sent more than once; no key has it. */
const separator = ",";

/**
 * Gets the key of an act that a request was sent with.
 * @param request - Request of the caller.
 * @throws Problem `invalid-act-key` when it has several keys, none of which is then looked up.
 */
export function getActKeyOrThrow(request: CallerRequest): string | undefined {
  const header = request.headers["idempotency-key"];
  const key = header === undefined ? undefined : String(header);
  if (key?.includes(separator) === true) {
    throw Problem.create("invalid-act-key", `header "idempotency-key" must have one key`);
  }
  return key;
}
