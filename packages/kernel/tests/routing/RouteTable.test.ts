import { getTargetService, RouteTable } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRoute, createRouting } from "./samples.js";

const test = suite("RouteTable");

const table = RouteTable.create(
  createRouting({
    routes: [
      createRoute({ name: "all" }),
      createRoute({ name: "notes", prefix: "/notes/" }),
      createRoute({ name: "day", prefix: "/notes/day/" }),
      createRoute({ name: "other", authority: "Other.example", prefix: "/x/" }),
    ],
  }),
);

test("matches the longest prefix of the path, without the query", () => {
  const names = ["/notes/day/1", "/notes/days", "/note", "/notes/?next=/notes/day/1", "/"].map(
    (path) => table.getRoute("chat.example", path)?.name,
  );
  assert.equal(names, ["day", "notes", "all", "notes", "all"]);
});

test("ignores case and port of the authority, and finds no route of another one", () => {
  assert.is(table.getRoute("CHAT.example:80", "/q")?.name, "all");
  assert.is(table.getRoute("other.EXAMPLE", "/x/1")?.name, "other");
  assert.is(table.getRoute("other.example", "/y"), undefined);
  assert.is(table.getRoute("third.example", "/"), undefined);
});

test("picks targets by weight, and never one of weight 0", () => {
  const route = createRoute({
    targets: [
      { service: "a", weight: 90 },
      { service: "b", weight: 0 },
      { service: "c", weight: 10 },
    ],
  });
  const picked = [0, 0.5, 0.8999, 0.9, 0.9999].map((fraction) => getTargetService(route, fraction));
  assert.equal(picked, ["a", "a", "a", "c", "c"]);
});

test("finds teams by any of their keys", () => {
  assert.is(table.getTeam("k-1")?.name, "callaloo");
  assert.is(table.getTeam("k-2"), undefined);
});

test.run();
