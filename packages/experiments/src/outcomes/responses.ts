import { STATUS_CODES } from "node:http";

/** Header fields of a response; a name may come more than once. */
export type ResponseField = readonly [name: string, value: string];

/** Header that states that the request was not run. */
export const notRunField: ResponseField = ["Not-Run", "1"];

/**
 * Formats the head of a response.
 * @param status - HTTP status.
 * @param fields - Header fields.
 */
export function formatHead(status: number, fields: readonly ResponseField[]): string {
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${String(status)} ${STATUS_CODES[status] ?? ""}\r\n${lines.join("")}\r\n`;
}

/**
 * Formats a complete response.
 * @param status - HTTP status.
 * @param fields - Header fields beside the length.
 * @param body - Text of the body.
 */
export function formatResponse(
  status: number,
  fields: readonly ResponseField[],
  body = "",
): string {
  const length: ResponseField = ["Content-Length", String(Buffer.byteLength(body))];
  return formatHead(status, [...fields, length]) + body;
}

/**
 * Gets the fields of a response of an engine that has run a request.
 * @param id - Id of the request.
 */
export function getRunFields(id: string): readonly ResponseField[] {
  return [
    ["Request-Id", id],
    ["Response-Stamp", `stamp-${id}`],
  ];
}

/**
 * Formats a refusal, which states that the request was not run.
 * @param status - HTTP status.
 * @param id - Id of the request; undefined when the refusal names none.
 */
export function formatRefusal(status: number, id: string | undefined): string {
  const idFields: readonly ResponseField[] = id === undefined ? [] : [["Request-Id", id]];
  return formatResponse(status, [...idFields, notRunField]);
}
