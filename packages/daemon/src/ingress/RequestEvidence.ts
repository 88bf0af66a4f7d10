import {
  getHash,
  withstoodMilliseconds,
  type ContentQuarantine,
  type ResponseHead,
} from "@pistachioway/kernel";
import { toHex } from "../log/toHex.js";
import type { Attempt } from "./Attempt.js";
import type { AcceptedRequest } from "./AcceptedRequest.js";
import type { Refusal } from "./refusals.js";

const firstErrorStatus = 400;
const millisecondsPerSecond = 1_000;

/** What the attempts of a request prove about its content, and whether it may be sent. */
export class RequestEvidence {
  private constructor(
    private readonly quarantine: ContentQuarantine,
    private readonly request: AcceptedRequest,
  ) {}

  /**
   * Creates the evidence of a request that has no attempts.
   * @param quarantine - Contents that upstreams ended under.
   * @param request - The request.
   */
  static create(quarantine: ContentQuarantine, request: AcceptedRequest): RequestEvidence {
    return new RequestEvidence(quarantine, request);
  }

  /** Creates the refusal of a request with a content that is quarantined; undefined when none is. */
  createRefusal(now: number): Refusal | undefined {
    const { content } = this.request;
    const quarantined = this.quarantine.findQuarantined(content, now);
    if (quarantined === undefined) {
      return undefined;
    }
    const name = quarantined.content === content.whole ? "request" : "prompt block";
    return {
      name: "content-quarantined",
      detail: `upstreams crashed one after another on ${name} ${toHex(quarantined.content)}`,
      retryAfterSeconds: Math.ceil((quarantined.endsAt - now) / millisecondsPerSecond),
    };
  }

  /**
   * Records a complete answer. One that ended with its connection proves nothing, as the upstream may
   * have crashed.
   * @param head - Head of the answer.
   * @param now - Time of its end.
   */
  recordAnswer({ status, isFramed }: ResponseHead, now: number): void {
    if (isFramed && status < firstErrorStatus) {
      this.quarantine.recordSuccess(this.request.content, now);
    }
  }

  /**
   * Records that the upstream ended the connection of an attempt before its answer was complete.
   * @param attempt - The attempt.
   * @param now - Time of the loss.
   */
  recordLoss({ target, firstBodyByteAt }: Attempt, now: number): void {
    const { content, head } = this.request;
    if (target.upstream === undefined) {
      return;
    }
    const { id, bornAt } = target.upstream;
    const upstream = getHash(`${id} ${String(bornAt)}`);
    const lost = { content, upstream, request: getHash(head.id) };
    if (firstBodyByteAt !== undefined && now - firstBodyByteAt >= withstoodMilliseconds) {
      // The upstream withstood the prompt, but not the whole request.
      this.quarantine.recordPromptRead(content, now);
      this.quarantine.recordLoss({ ...lost, content: { ...content, blocks: [] } }, now);
      return;
    }
    this.quarantine.recordLoss(lost, now);
  }
}
