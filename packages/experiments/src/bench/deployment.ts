/** The sizes and distances of one deployment. */
export interface Deployment {
  readonly name: string;
  readonly zones: readonly string[];
  readonly engineCount: number;
  readonly daemonCount: number;
  readonly teamCount: number;
  /** One way, between two zones. */
  readonly zoneDelayMilliseconds: number;
  /** New chats a second at the base load. */
  readonly chatsPerSecond: number;
  /** Share of chats that are long briefings, of those that are quick lookups; the rest is batches. */
  readonly briefingShare: number;
  readonly lookupShare: number;
  /** Length of the answers relative to the kinds of chats. */
  readonly durationFactor: number;
  readonly measuredSeconds: number;
}

/** Callaloo: long briefings weigh most. */
export const callaloo: Deployment = {
  name: "callaloo",
  zones: ["a", "b", "c", "d"],
  engineCount: 13,
  daemonCount: 5,
  teamCount: 10,
  zoneDelayMilliseconds: 0.5,
  chatsPerSecond: 14,
  briefingShare: 0.4,
  lookupShare: 0.5,
  durationFactor: 1,
  measuredSeconds: 120,
};

/** Ballycorrig: diary updates and summaries, shorter chats. */
export const ballycorrig: Deployment = {
  name: "ballycorrig",
  zones: ["a", "b", "c"],
  engineCount: 13,
  daemonCount: 5,
  teamCount: 10,
  zoneDelayMilliseconds: 1.5,
  chatsPerSecond: 17,
  briefingShare: 0.3,
  lookupShare: 0.6,
  durationFactor: 1,
  measuredSeconds: 120,
};

/** One zone of the size to design for. */
export const scale: Deployment = {
  name: "scale",
  zones: ["a"],
  engineCount: 310,
  daemonCount: 35,
  teamCount: 900,
  zoneDelayMilliseconds: 0.5,
  chatsPerSecond: 190,
  briefingShare: 0.4,
  lookupShare: 0.5,
  durationFactor: 1.4,
  measuredSeconds: 60,
};

/** The deployments that are measured when none is named. */
export const deployments: readonly Deployment[] = [callaloo, ballycorrig];
