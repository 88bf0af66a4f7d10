import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";
import type { AdmissionTask } from "../kernel/index.js";
import { getKeyedActProblem } from "./problems.js";

const costOfAct = 1;

/**
 * Resolves when an act may be submitted.
 * @param admission - Admits the requests of callers.
 * @param request - Request of the caller.
 * @param key - Key of the act that the caller sent.
 * @throws Problem when the request is refused; its outcome is unknown if the caller sent a key.
 */
export async function admitActOrThrow(
  admission: AdmissionTask,
  request: CallerRequest,
  key: string | undefined,
): Promise<void> {
  try {
    await admission.admit(request, costOfAct);
  } catch (error) {
    throw key !== undefined && error instanceof Problem ? getKeyedActProblem(error) : error;
  }
}
