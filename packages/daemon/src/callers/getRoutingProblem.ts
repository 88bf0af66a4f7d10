import { Problem } from "../errors/index.js";

const maxQuotedCharacters = 200;
const nameTooLongCode = "FST_ERR_MAX_PARAM_LENGTH";

/**
 * Gets the problem of a request whose path the HTTP framework cannot route.
 * @param code - Code of the framework's error.
 * @param path - Path and query of the request.
 */
export function getRoutingProblem(code: string, path: string): Problem {
  const quoted = `the path "${path.slice(0, maxQuotedCharacters)}"`;
  const detail =
    code === nameTooLongCode
      ? `${quoted} has a name that is too long`
      : `${quoted} cannot be decoded`;
  return Problem.create("invalid-request", detail);
}
