import {
  getHash,
  mixHashes,
  withstoodMilliseconds,
  type ContentQuarantine,
  type ResponseHead,
} from "@pistachioway/kernel";
import { toHex } from "../log/toHex.js";
import type { Attempt } from "./Attempt.js";
import { getSharedBlocks, type AcceptedRequest } from "./AcceptedRequest.js";
import type { Refusal } from "./refusals.js";

const firstErrorStatus = 400;
const millisecondsPerSecond = 1_000;

/** The prompt of a request, and what its attempts prove about the prompt's blocks. */
export class RequestPrompt {
  private constructor(
    private readonly quarantine: ContentQuarantine,
    private readonly requestId: string,
    /** Hashes of the shared blocks, by service: another service may bear what crashes this one. */
    private readonly blocks: readonly number[],
  ) {}

  /**
   * Creates the prompt of a request; it may have no blocks.
   * @param quarantine - Blocks that upstreams ended under.
   * @param request - The request.
   */
  static create(quarantine: ContentQuarantine, { head, service }: AcceptedRequest): RequestPrompt {
    const serviceHash = getHash(service);
    const blocks = getSharedBlocks(head).map((block) => mixHashes(serviceHash, block));
    return new RequestPrompt(quarantine, head.id, blocks);
  }

  /** Creates the refusal of a request with a block that is quarantined; undefined when none is. */
  createRefusal(now: number): Refusal | undefined {
    if (this.blocks.length === 0) {
      return undefined;
    }
    const quarantined = this.quarantine.findQuarantined(this.blocks, now);
    return quarantined === undefined
      ? undefined
      : {
          name: "content-quarantined",
          detail: `upstreams crashed one after another on prompt block ${toHex(quarantined.content)}`,
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
      this.quarantine.recordSuccess(this.blocks, now);
    }
  }

  /**
   * Records that the upstream ended the connection of an attempt before its answer was complete.
   * @param attempt - The attempt.
   * @param now - Time of the loss.
   */
  recordLoss({ entry, firstBodyByteAt }: Attempt, now: number): void {
    if (firstBodyByteAt !== undefined && now - firstBodyByteAt >= withstoodMilliseconds) {
      this.quarantine.recordSuccess(this.blocks, now);
      return;
    }
    const { id, bornAt } = entry.record;
    const lost = {
      blocks: this.blocks,
      upstream: getHash(`${id} ${String(bornAt)}`),
      request: getHash(this.requestId),
    };
    this.quarantine.recordLoss(lost, now);
  }
}
