import { RequestNotSentError } from "./RequestNotSentError.js";

/** Errors of a system call that opens a connection, by which the other side cannot be reached. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
]);
const connectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";

/**
 * Checks whether an error shows that no part of a request was sent. This is the only place that
 * concludes so, for upstreams and for other daemons.
 * @param error - Error of a request, without the errors that wrap it.
 */
export function isNeverSent(error: unknown): boolean {
  return error instanceof RequestNotSentError || isConnectFailure(error);
}

/**
 * Checks whether an error of the HTTP client shows that no connection could be opened. An established
 * connection can fail with the same codes.
 * @param error - Error of a request, without the errors that wrap it.
 */
export function isConnectFailure(error: unknown): boolean {
  if (!(error instanceof Error)) {
    return false;
  }
  const { code = "", syscall } = error as NodeJS.ErrnoException;
  return code === connectTimeoutCode || (syscall === "connect" && connectErrorCodes.has(code));
}
