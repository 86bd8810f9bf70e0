/** Values of the command's options. */

import { parseCount, parseSeeds } from "../src/parseOptions";

test("seeds are numbers and ranges", () => {
    expect(parseSeeds("3,8,20-22")).toEqual([3, 8, 20, 21, 22]);
    expect(parseSeeds(7)).toEqual([7]);
});

test.each(["", "a", "5-3", "1,,2", "1-99999999", undefined])(
    "seeds %p are refused by the name of the option",
    value => {
        expect(() => parseSeeds(value)).toThrow("--seeds");
    },
);

test.each(["0", "1.5", "21", "many", undefined])("a count of %p is refused by the name of the option", value => {
    expect(() => parseCount("jobs", value, 20)).toThrow("--jobs");
});
