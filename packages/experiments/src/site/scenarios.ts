import type { SiteRun } from "./SiteRun.js";

/** A day of the emulated site. */
export interface SiteScenario {
  readonly name: string;
  /** Requests a second as a multiple of the sheet's figures, at an instant. */
  readonly getRate: (at: number) => number;
  /** Share of the engines' requests that are of one chat of each kind, at an instant. */
  readonly getHotShare: (at: number) => number;
  /** Plans what happens to the upstreams. */
  readonly plan: (run: SiteRun) => void;
}

const from = 10_000;
const until = 20_000;
const isWithin = (at: number): boolean => at >= from && at < until;

const calm: SiteScenario = {
  name: "calm",
  getRate: () => 0.55,
  getHotShare: () => 0,
  plan: () => undefined,
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
    plan: (run) => {
      run.at(from, () => {
        run.crash("engines", 2);
      });
    },
  },
  {
    ...calm,
    name: "slow-engine",
    plan: (run) => {
      run.at(from, () => {
        run.slow("engines", 1, 4);
      });
      run.at(until, () => {
        run.slow("engines", 1, 1);
      });
    },
  },
  {
    ...calm,
    name: "release",
    plan: (run) => {
      for (let step = 0; step < 13; step += 1) {
        run.at(from + step * 1_000, () => {
          run.replace("engines");
        });
      }
    },
  },
  {
    ...calm,
    name: "scale-in",
    plan: (run) => {
      run.at(from, () => {
        run.drain("engines", 3);
      });
    },
  },
];
