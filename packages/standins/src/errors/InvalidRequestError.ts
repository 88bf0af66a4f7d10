import { StandinError } from "./StandinError.js";

/** The body or query of a request does not match its schema. */
export class InvalidRequestError extends StandinError {
  readonly code = "invalid-request";
  /** HTTP status of Fastify's error response. */
  readonly statusCode = 400;

  constructor(readonly reason: string) {
    super(`request is not valid: ${reason}`);
  }
}
