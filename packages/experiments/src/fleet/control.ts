import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { ConditionTimeoutError, ControlError } from "../errors/index.js";

type Method = "GET" | "POST" | "PUT" | "DELETE";

const pollMilliseconds = 20;
const conditionMilliseconds = 20_000;

/**
 * Calls a control or operations listener and resolves to the JSON body.
 * @param method - HTTP method.
 * @param url - Address, path and query, without the scheme.
 * @param body - JSON body, or text that is sent as it is.
 * @throws ControlError when the answer is a failure.
 */
export async function callControl(method: Method, url: string, body?: unknown): Promise<unknown> {
  const text = body === undefined || typeof body === "string" ? body : JSON.stringify(body);
  const answer = await request(`http://${url}`, { method, body: text });
  const answerText = await answer.body.text();
  if (answer.statusCode >= 400) {
    throw new ControlError(url, answer.statusCode, answerText);
  }
  return answerText === "" ? undefined : JSON.parse(answerText);
}

/**
 * Resolves when a condition holds.
 * @param name - Name of the condition, for the error.
 * @param isMet - Tells whether it holds; a failed call counts as no.
 * @param milliseconds - Longest time to wait.
 * @throws ConditionTimeoutError when the condition does not hold in time.
 */
export async function waitForCondition(
  name: string,
  isMet: () => Promise<boolean>,
  milliseconds = conditionMilliseconds,
): Promise<void> {
  const waitUntil = Date.now() + milliseconds;
  while (!(await isMet().catch(() => false))) {
    if (Date.now() > waitUntil) {
      throw new ConditionTimeoutError(name);
    }
    await delay(pollMilliseconds);
  }
}
