import type { RequestKind } from "./requestKinds.js";
import type { PromptBlock } from "./PromptCache.js";

/** One request of an emulated caller. */
export interface SiteRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly blocks: readonly PromptBlock[];
  /** Key that requests with the same cached prefix share; undefined for a plain request. */
  readonly stickyKey: string | undefined;
  readonly sentAt: number;
}
