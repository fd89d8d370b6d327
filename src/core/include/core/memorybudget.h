#pragma once

#include <atomic>
#include <cstddef>

namespace snipehill
{

/** Limits the memory that peers can make the process hold for one purpose. Owned by the process and outlives all shares; thread-safe. */
class MemoryBudget
{
public:
    /** Part of each share that is not counted, so that small messages still pass when large ones have used up the budget. */
    static constexpr std::size_t uncountedBytes = 8192;

    /** @param maxBytes largest sum of what is counted of all shares */
    explicit MemoryBudget(std::size_t maxBytes) noexcept : m_maxBytes(maxBytes) { }

    /** What is counted of all shares. */
    std::size_t usedBytes() const noexcept
    {
        return m_usedBytes;
    }

    /** Largest sum of what is counted of all shares. */
    std::size_t maxBytes() const noexcept
    {
        return m_maxBytes;
    }

    /** What one request or response takes; given back when it ends. Used by one thread at a time. */
    class Share
    {
    public:
        /** @param budget no limit applies if null */
        explicit Share(MemoryBudget *budget) noexcept : m_budget(budget) { }
        ~Share()
        {
            resize(0);
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /**
         * Sets the size of the share; false, without a change, if it grows and all shares together would exceed the budget.
         *
         * @param divisor the share grows only while all shares together stay within this part of the budget
         */
        bool resize(std::size_t bytes, std::size_t divisor = 1) noexcept
        {
            if (!m_budget) {
                return true;
            }
            const std::size_t before = m_countedBytes;
            const std::size_t counted = bytes > uncountedBytes ? bytes - uncountedBytes : 0;
            const std::size_t used = m_budget->m_usedBytes += counted - before; // wraps around when the share shrinks, which adds up
            if (counted > before && used > m_budget->m_maxBytes / divisor) {
                m_budget->m_usedBytes -= counted - before;
                return false;
            }
            m_countedBytes = counted;
            return true;
        }

    private:
        MemoryBudget *m_budget;
        std::size_t m_countedBytes = 0;
    };

private:
    const std::size_t m_maxBytes;
    std::atomic<std::size_t> m_usedBytes{0};
};

} // namespace snipehill
