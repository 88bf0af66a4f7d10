import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { ConditionTimeoutError, ControlError } from "../errors/index.js";

type Method = "GET" | "POST" | "PUT" | "DELETE";

const pollMilliseconds = 20;
const conditionTimeoutMilliseconds = 20_000;

/**
 * Calls a control or operations listener and gets the JSON body of the response.
 * @param method - HTTP method.
 * @param url - Address, path and query, without the scheme.
 * @param body - Value that is sent as JSON; a string is sent as it is.
 * @throws ControlError when the response has an error status.
 */
export async function callControl(method: Method, url: string, body?: unknown): Promise<unknown> {
  const text = body === undefined || typeof body === "string" ? body : JSON.stringify(body);
  const response = await request(`http://${url}`, { method, body: text });
  const responseText = await response.body.text();
  if (response.statusCode >= 400) {
    throw new ControlError(url, response.statusCode, responseText);
  }
  return responseText === "" ? undefined : JSON.parse(responseText);
}

/**
 * Polls a condition and resolves when it is met.
 * @param name - Name of the condition in the error message.
 * @param isMet - Checks the condition; a rejected promise counts as not met.
 * @param timeoutMilliseconds - Longest time to wait.
 * @throws ConditionTimeoutError when the condition is not met in time.
 */
export async function waitForCondition(
  name: string,
  isMet: () => Promise<boolean>,
  timeoutMilliseconds = conditionTimeoutMilliseconds,
): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds;
  while (!(await isMet().catch(() => false))) {
    if (Date.now() > deadline) {
      throw new ConditionTimeoutError(name);
    }
    await delay(pollMilliseconds);
  }
}
