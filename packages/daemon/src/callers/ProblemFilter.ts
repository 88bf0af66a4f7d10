import { Catch, HttpException, type ArgumentsHost, type ExceptionFilter } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { Problem } from "../errors/index.js";
import { getCallerProblem } from "./getCallerProblem.js";
import type { ResponseWriter } from "./ResponseWriter.js";

const payloadTooLargeStatus = 413;
const notFoundStatus = 404;

/** Creates the writer of the response to a request. */
type WriterSource = (request: FastifyRequest, reply: FastifyReply) => ResponseWriter;

/** Converts every error that reaches Nest into a problem response. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
  private constructor(
    private readonly createWriter: WriterSource,
    private readonly onInternalError: (error: unknown) => void,
  ) {}

  /**
   * Creates the filter.
   * @param createWriter - Creates the writer of a response.
   * @param onInternalError - Called with each error that maps to no specific problem.
   */
  static create(
    createWriter: WriterSource,
    onInternalError: (error: unknown) => void,
  ): ProblemFilter {
    return new ProblemFilter(createWriter, onInternalError);
  }

  /**
   * Sends the error response of a request whose handler threw.
   * @param error - Thrown value.
   * @param host - Request and reply.
   */
  catch(error: unknown, host: ArgumentsHost): void {
    const http = host.switchToHttp();
    const request = http.getRequest<FastifyRequest>();
    const writer = this.createWriter(request, http.getResponse<FastifyReply>());
    writer.sendProblem(getCallerProblem(this.toProblem(error, request), request));
  }

  private toProblem(error: unknown, request: FastifyRequest): Problem {
    if (error instanceof Problem) {
      return error;
    }
    const status = getStatus(error);
    if (status === payloadTooLargeStatus) {
      return Problem.create("body-too-large", "the body is larger than the limit");
    }
    if (status === notFoundStatus) {
      return Problem.create("unknown-path", `no handler for "${request.method} ${request.url}"`);
    }
    if (status !== undefined && status < 500) {
      const detail = error instanceof Error ? error.message : "the request cannot be read";
      return Problem.create("invalid-request", detail);
    }
    this.onInternalError(error);
    return Problem.create("internal", "an internal error stopped the request", "unknown");
  }
}

function getStatus(error: unknown): number | undefined {
  if (error instanceof HttpException) {
    return error.getStatus();
  }
  const status = (error as { statusCode?: unknown } | null)?.statusCode;
  return typeof status === "number" ? status : undefined;
}
