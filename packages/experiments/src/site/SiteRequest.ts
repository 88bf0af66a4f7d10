import type { RequestKind } from "./requestKinds.js";
import type { PromptBlock } from "./PromptCache.js";

/** One request of an emulated caller. */
export interface SiteRequest {
  readonly kind: RequestKind;
  readonly blocks: readonly PromptBlock[];
  /** What its cached prefix hangs on; undefined for a plain request. */
  readonly stickyKey: string | undefined;
  readonly sentAt: number;
}
