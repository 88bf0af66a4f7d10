import type { AnswerFaults } from "./ranAnswers.js";
import type { SiteRun } from "./SiteRun.js";

/** A load pattern of the emulated site, and the events that its upstreams go through. */
export interface SiteScenario {
  readonly name: string;
  /** Gets the request rate at an instant, as a multiple of the rates of the request kinds. */
  readonly getRate: (at: number) => number;
  /** Gets the ratio of requests at an instant that belong to one chat of their kind. */
  readonly getHotShare: (at: number) => number;
  readonly answerFaults: AnswerFaults;
  /** Schedules crashes, slowdowns and other events of the upstreams. */
  readonly scheduleEvents: (run: SiteRun) => void;
}

const eventsStartAt = 10_000;
const eventsEndAt = 20_000;
const isWithin = (at: number): boolean => at >= eventsStartAt && at < eventsEndAt;

const calm: SiteScenario = {
  name: "calm",
  getRate: () => 0.55,
  getHotShare: () => 0,
  answerFaults: { unstatedRatio: 0, strayRatio: 0 },
  scheduleEvents: () => undefined,
};

/** The scenarios of the emulated site. */
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
  { ...calm, name: "unproven", answerFaults: { unstatedRatio: 0.02, strayRatio: 0.02 } },
];
