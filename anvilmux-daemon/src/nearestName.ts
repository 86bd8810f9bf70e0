/** Finds the known name closest to a mistyped one. */

/** Levenshtein distance: the insertions, deletions and replacements that turn one text into the other. */
const getEditDistance = (left: string, right: string): number => {
    let previous = Array.from({ length: right.length + 1 }, (_unused, position) => position);
    for (let row = 1; row <= left.length; row++) {
        const current = [row];
        for (let column = 1; column <= right.length; column++) {
            const replaced = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1);
            current.push(Math.min(replaced, previous[column]! + 1, current[column - 1]! + 1));
        }
        previous = current;
    }
    return previous[right.length]!;
};

const maximumSuggestionDistance = 4;

/** The known name with the smallest edit distance; undefined when it exceeds the maximum. */
export const findNearestName = (name: string, known: readonly string[]): string | undefined => {
    const ranked = known.map(candidate => ({ candidate, distance: getEditDistance(name, candidate) }));
    ranked.sort((left, right) => left.distance - right.distance);
    return ranked[0] && ranked[0].distance <= maximumSuggestionDistance ? ranked[0].candidate : undefined;
};
