import type { SiteRun } from "./SiteRun.js";

/** A day of the emulated site. */
export interface SiteScenario {
  readonly name: string;
  /** Requests a second as a multiple of the sheet's figures, at an instant. */
  readonly getRate: (at: number) => number;
  /** Share of the engines' requests that are of one chat of each kind, at an instant. */
  readonly getHotShare: (at: number) => number;
  /** Plans what happens to the upstreams. */
  readonly scheduleEvents: (run: SiteRun) => void;
}

const eventsStartAt = 10_000;
const eventsEndAt = 20_000;
const isWithin = (at: number): boolean => at >= eventsStartAt && at < eventsEndAt;

const calm: SiteScenario = {
  name: "calm",
  getRate: () => 0.55,
  getHotShare: () => 0,
  scheduleEvents: () => undefined,
};

/** The days of the emulated site, by the pattern of their load. */
export const siteScenarios: readonly SiteScenario[] = [
  calm,
  { ...calm, name: "busy", getRate: () => 1 },
  { ...calm, name: "burst", getRate: (at) => (isWithin(at) ? 3 : 0.55) },
  { ...calm, name: "overload", getRate: (at) => (isWithin(at) ? 16 : 0.55) },
  { ...calm, name: "hot-chat", getRate: () => 1, getHotShare: (at) => (isWithin(at) ? 0.4 : 0) },
  {
    ...calm,
    name: "crash",
    scheduleEvents: (run) => {
      run.schedule(eventsStartAt, () => {
        run.crash("engines", 2);
      });
    },
  },
  {
    ...calm,
    name: "slow-engine",
    scheduleEvents: (run) => {
      run.schedule(eventsStartAt, () => {
        run.setSlowness("engines", 1, 4);
      });
      run.schedule(eventsEndAt, () => {
        run.setSlowness("engines", 1, 1);
      });
    },
  },
  {
    ...calm,
    name: "release",
    scheduleEvents: (run) => {
      for (let step = 0; step < 13; step += 1) {
        run.schedule(eventsStartAt + step * 1_000, () => {
          run.replace("engines");
        });
      }
    },
  },
  {
    ...calm,
    name: "scale-in",
    scheduleEvents: (run) => {
      run.schedule(eventsStartAt, () => {
        run.drain("engines", 3);
      });
    },
  },
];
