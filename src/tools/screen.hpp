#pragma once
#include <array>

#include "tools/tables.hpp"

namespace limemast::tools {
/// State of the console: renders the views as lines and handles keys. It is independent of the
/// terminal, so that tests can drive it.
class Screen {
 public:
  enum class Key {
    Up,
    Down,
    PageUp,
    PageDown,
    Home,
    End,
    NextView,
    View1,
    View2,
    View3,
    View4,
    NextSort,
    Reverse,
    Search,
    Accept,
    Cancel,
    Erase,
    Quit,
    Other
  };
  struct Line {
    std::string text;
    enum class Look { Plain, Title, Header, Selected, Warning } look = Look::Plain;
  };

  void show(std::shared_ptr<const Snapshot> snapshot, net::Time now);
  /// Reports that the last refresh failed. The previous snapshot stays on the screen with its age.
  void set_error(const std::string& why);
  /// `typed` is the character of a Key::Other while the user types a search, else 0.
  void press(Key key, char typed = 0);
  bool quit_requested() const { return quit_requested_; }
  bool typing() const { return typing_; }

  /// Exactly `rows` lines of at most `columns` characters each.
  std::vector<Line> render(std::size_t rows, std::size_t columns, net::Time now);

 private:
  static constexpr std::size_t kViews = 4;
  Table table() const;
  std::vector<std::string> details(const Table& table) const;
  std::shared_ptr<const Snapshot> snapshot_;
  net::Time read_at_{};
  std::string error_;
  std::size_t view_ = 0;
  struct State {
    std::size_t cursor = 0;
    std::size_t top = 0;
    std::optional<std::size_t> sort;
    bool descending = false;
    std::string filter;
    /// First cell of the row under the cursor, by which that row is found again after a refresh.
    std::string selected;
  };
  std::array<State, kViews> states_;
  bool detail_ = false;
  bool typing_ = false;
  bool quit_requested_ = false;
  std::size_t page_ = 10;  ///< rows shown by the last rendering
};
/// Number of characters of a UTF-8 text; each is assumed to take one terminal column.
std::size_t width(const std::string& text);
/// Cuts the text or pads it with spaces to exactly `columns` characters. Control characters become
/// '?'.
std::string fit(const std::string& text, std::size_t columns);
}  // namespace limemast::tools
