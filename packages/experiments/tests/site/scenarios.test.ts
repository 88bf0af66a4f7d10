import {
  allKnowing,
  KernelSitePolicy,
  siteScenarios,
  SiteRun,
  type SiteFigures,
  type SitePolicyFactory,
} from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("the router's decisions on heavy days");

const router: SitePolicyFactory = (number, zone, getNow) =>
  KernelSitePolicy.create(number, zone, getNow);
const seeds = [1, 2, 3];
/** Requests that may reach an engine above the bound on load. */
const maxShareOverBound = 0.03;
/** An urgent kind may be served less often than a less urgent one by this much. */
const urgencyTolerance = 0.05;

function play(name: string, policy = router): SiteFigures[] {
  const scenario = siteScenarios.find((one) => one.name === name);
  assert.ok(scenario, `scenario "${name}"`);
  return seeds.map((seed) => SiteRun.simulate(scenario, policy, seed));
}

function getServedShare({ kinds }: SiteFigures, kind: string): number {
  const { whole = 0, refused = 0, left = 0, lost = 0 } = kinds[kind] ?? {};
  return whole / (whole + refused + left + lost);
}

function sum(figures: readonly SiteFigures[], get: (one: SiteFigures) => number): number {
  return figures.reduce((total, one) => total + get(one), 0);
}

for (const name of ["calm", "busy", "burst", "hot-chat", "release", "scale-in"]) {
  test(`${name}: nobody is refused, lost or late, and no engine is above its bound`, () => {
    for (const { kinds, overBound } of play(name)) {
      const unserved = Object.values(kinds).map(({ refused, left, lost }) => refused + left + lost);
      assert.equal(unserved, [0, 0, 0, 0, 0]);
      assert.ok(
        Object.values(kinds).every(({ whole, onTime }) => onTime > whole * 0.99),
        "in time",
      );
      assert.ok(overBound <= maxShareOverBound, `over bound ${String(overBound)}`);
    }
  });
}

for (const name of ["calm", "burst", "crash", "release", "scale-in"]) {
  test(`${name}: reads hardly more of the prompts than one who knows every cache`, () => {
    const read = sum(play(name), ({ tokensRead }) => tokensRead);
    const least = sum(play(name, allKnowing), ({ tokensRead }) => tokensRead);
    assert.ok(read < least * 1.1, `${String(read)} read, ${String(least)} by the other`);
  });
}

test("crash: only what the lost engines worked on is lost", () => {
  for (const { kinds } of play("crash")) {
    const shares = Object.values(kinds).map(({ asked, refused, lost, left }) => {
      return (refused + lost + left) / asked;
    });
    assert.ok(Math.max(...shares) < 0.03, `unserved ${shares.join(", ")}`);
  }
});

test("slow-engine: an engine four times slower makes no kind late", () => {
  for (const { kinds } of play("slow-engine")) {
    const late = Object.values(kinds).map(({ whole, onTime }) => 1 - onTime / whole);
    assert.ok(Math.max(...late) < 0.02, `late ${late.join(", ")}`);
  }
});

test("overload: an urgent kind is served no less often than a less urgent one", () => {
  for (const figures of play("overload")) {
    const [briefing = 0, answer = 0, summary = 0] = ["briefing", "answer", "summary"].map((kind) =>
      getServedShare(figures, kind),
    );
    const text = `briefing ${String(briefing)}, answer ${String(answer)}, summary ${String(summary)}`;
    assert.ok(briefing > answer - urgencyTolerance, text);
    assert.ok(answer > summary - urgencyTolerance, text);
  }
});

test.run();
