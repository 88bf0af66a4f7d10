import type { FleetNotice } from "./messages.js";

const prefixNoticeBytes = 16;
const upstreamNoticeBytes = 32;
const contentNoticeBytes = 24;

const bytesByKind: Readonly<Record<FleetNotice["kind"], number>> = {
  prefix: prefixNoticeBytes,
  leaving: upstreamNoticeBytes,
  resting: upstreamNoticeBytes,
  limit: upstreamNoticeBytes,
  pace: upstreamNoticeBytes,
  loss: contentNoticeBytes,
  served: contentNoticeBytes,
  quarantine: contentNoticeBytes,
};

/**
 * Estimates the size of notices in a datagram.
 * @param notices - The notices.
 */
export function getNoticeBytes(notices: readonly FleetNotice[]): number {
  return notices.reduce((sum, { kind }) => sum + bytesByKind[kind], 0);
}
