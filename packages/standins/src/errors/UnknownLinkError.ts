import { StandinError } from "./StandinError.js";

/** A control call names a link that the fault proxy does not have. */
export class UnknownLinkError extends StandinError {
  readonly code = "unknown-link";
  /** HTTP status of Fastify's error response. */
  readonly statusCode = 404;

  constructor(readonly linkName: string) {
    super(`link "${linkName}" does not exist`);
  }
}
