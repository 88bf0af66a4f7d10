import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { ConditionError, ControlError } from "../errors/index.js";

type Method = "GET" | "POST" | "PUT" | "DELETE";

const pollMilliseconds = 20;
const conditionTimeoutMilliseconds = 20_000;

/**
 * Calls a control or operations listener and resolves to the JSON body.
 * @param method - HTTP method.
 * @param url - Address, path and query, without the scheme.
 * @param body - JSON body, or text that is sent as it is.
 * @throws ControlError when the answer is a failure.
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
 * Resolves when a condition holds.
 * @param name - Name of the condition, for the error.
 * @param isMet - Tells whether it holds; a failed call counts as no.
 * @param timeoutMilliseconds - Longest time to wait.
 * @throws ConditionError when the condition does not hold in time.
 */
export async function waitForCondition(
  name: string,
  isMet: () => Promise<boolean>,
  timeoutMilliseconds = conditionTimeoutMilliseconds,
): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds;
  while (!(await isMet().catch(() => false))) {
    if (Date.now() > deadline) {
      throw new ConditionError(name);
    }
    await delay(pollMilliseconds);
  }
}
