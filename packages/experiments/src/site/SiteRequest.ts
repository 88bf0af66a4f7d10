import type { RequestKind } from "./kinds.js";
import type { PromptPart } from "./PromptCache.js";

/** One request of an emulated caller. */
export interface SiteRequest {
  readonly kind: RequestKind;
  readonly parts: readonly PromptPart[];
  /** What its cached prefix hangs on; undefined for a plain request. */
  readonly stickyKey: string | undefined;
  readonly sentAt: number;
}
