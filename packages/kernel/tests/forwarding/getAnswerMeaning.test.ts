import { getAnswerMeaning } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("getAnswerMeaning");

const statuses = [200, 204, 301, 400, 404, 408, 421, 425, 429, 500, 502, 503, 504];
const statements: Readonly<Record<string, readonly string[]>> = {
  none: [],
  one: ["1"],
  empty: [""],
  twice: ["1", "1"],
};
const ids: Readonly<Record<string, readonly [answeredId: string, sentId: string]>> = {
  own: ["q-1", "q-1"],
  foreign: ["q-2", "q-1"],
  none: ["", "q-1"],
  "none sent": ["", ""],
};

/** Gets the statuses of each meaning, for one kind of id and of statement. */
function getTable(id: keyof typeof ids, statement: keyof typeof statements) {
  const [answeredId = "", sentId = ""] = ids[id] ?? [];
  const notRunStatements = statements[statement] ?? [];
  const table: Record<string, number[]> = {};
  for (const status of statuses) {
    const meaning = getAnswerMeaning({ status, notRunStatements, answeredId, sentId });
    table[meaning] = [...(table[meaning] ?? []), status];
  }
  return table;
}

// Guards against a request that ran being reported as not run, or sent again (REFUSED, TWICE).
test("proves that a request was not run by its own id, a status that means so and one statement", () => {
  assert.equal(getTable("own", "one"), {
    unproven: [200, 204],
    final: [301, 400, 404, 425, 500, 502, 504],
    refusal: [408, 421, 429, 503],
  });
});

// Guards against a status that promises "not run" being passed on when the upstream has not said so (REFUSED).
for (const statement of ["none", "empty", "twice"]) {
  test(`proves nothing by a status alone: statement ${statement}`, () => {
    const { final, unproven, ...others } = getTable("own", statement);
    assert.equal(others, {});
    assert.equal(
      unproven?.filter((status) => status >= 300),
      [408, 421, 429, 503],
    );
    assert.equal(
      final?.filter((status) => status >= 300),
      [301, 400, 404, 425, 500, 502, 504],
    );
  });
}

test("takes a success for the answer only if it does not state that the request was not run", () => {
  const getMeanings = (statement: string) =>
    Object.entries(getTable("own", statement)).find(([, list]) => list.includes(200))?.[0];
  assert.equal(Object.keys(statements).map(getMeanings), [
    "final",
    "unproven",
    "unproven",
    "unproven",
  ]);
});

// Guards against bytes that are no answer being passed on as one (MIXED).
test("believes no answer whose status is none of a final answer", () => {
  const odd = [-20, 0, 1, 99, 100, 101, 199, 200.5, 600, 999, 2_000, NaN];
  const meanings = odd.map((status) =>
    getAnswerMeaning({ status, notRunStatements: ["1"], answeredId: "q-1", sentId: "q-1" }),
  );
  assert.equal(
    meanings,
    odd.map(() => "foreign"),
  );
});

// Guards against an answer to another request, or to none, being believed (REFUSED, TWICE, MIXED).
for (const id of ["foreign", "none", "none sent"]) {
  for (const statement of Object.keys(statements)) {
    test(`believes no answer whose id is ${id}: statement ${statement}`, () => {
      assert.equal(getTable(id, statement), { foreign: statuses });
    });
  }
}

test.run();
