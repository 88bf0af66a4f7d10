import type { FastifyRequest } from "fastify";
import { z } from "zod";
import { InvalidRequestError } from "../errors/index.js";

/**
 * Gets the body of a request as text.
 * @param request - Request whose body was read as raw bytes.
 */
export function getBodyText(request: FastifyRequest): string {
  return Buffer.isBuffer(request.body) ? request.body.toString("utf8") : "";
}

/**
 * Parses the JSON body of a request; an empty body counts as `{}`.
 * @param schema - Schema of the body.
 * @param request - Request whose body was read as raw bytes.
 * @throws InvalidRequestError when the body does not match.
 */
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  request: FastifyRequest,
): z.output<Schema> {
  return parseValue(schema, parseJson(getBodyText(request) || "{}"));
}

/**
 * Parses a value with a schema.
 * @param schema - Schema of the value.
 * @param value - Value to parse.
 * @throws InvalidRequestError when the value does not match.
 */
export function parseValue<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): z.output<Schema> {
  const result = schema.safeParse(value);
  if (!result.success) {
    throw new InvalidRequestError(z.prettifyError(result.error));
  }
  return result.data;
}

/**
 * Gets a header; when it is repeated, its first value.
 * @param request - Request to read.
 * @param name - Name of the header in lower case.
 */
export function getHeader(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new InvalidRequestError("the body is not JSON");
  }
}
