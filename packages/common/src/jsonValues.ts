/**
 * How many values a JSON text has, before it is parsed: what it is parsed into can be many times larger than the text,
 * and grows with their number.
 */

/**
 * True for a text with more than `limit` values, which are counted by their separators; names of properties are not
 * counted. A text that is not JSON may be true as well.
 */
export const hasMoreValues = (text: string, limit: number): boolean => {
    // Each value but the outermost has a character of its own beside its separator.
    if (text.length / 2 <= limit) {
        return false;
    }
    let count = 1;
    for (let index = 0; index < text.length; index++) {
        switch (text[index]) {
            case "\"":
                index = findStringEnd(text, index);
                break;
            case ",":
            case "[":
            case "{":
                count += 1;
                if (count > limit) {
                    return true;
                }
        }
    }
    return false;
};

/** Index of the quote that ends the string which begins at `start`; that of the last character if none does. */
const findStringEnd = (text: string, start: number): number => {
    let end = start;
    let isEscaped = true;
    while (isEscaped) {
        end = text.indexOf("\"", end + 1);
        if (end < 0) {
            return text.length - 1;
        }
        let backslashes = 0;
        while (text[end - 1 - backslashes] === "\\") {
            backslashes += 1;
        }
        isEscaped = backslashes % 2 === 1;
    }
    return end;
};
