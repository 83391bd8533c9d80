#include "tools/console.hpp"

#include <clocale>
#include <csignal>
#include <iostream>

#include <ncurses.h>
#include <unistd.h>
#include <uv.h>

#include "net/uv_runtime.hpp"

namespace limemast::tools {
namespace {
using Key = Screen::Key;
constexpr int kRedrawKey = 'L' & 0x1F;  ///< Ctrl-L
constexpr int kEscapeKey = 27;

/// Switches the terminal to full-screen mode; the destructor restores it.
class Terminal {
 public:
  Terminal() {
    std::setlocale(LC_ALL, "");
    initscr();
    cbreak();
    noecho();
    keypad(stdscr, TRUE);
    nodelay(stdscr, TRUE);
    set_escdelay(25);
    curs_set(0);
    has_colors_ = has_colors();
    if (!has_colors_) return;
    start_color();
    use_default_colors();
    init_pair(1, COLOR_CYAN, -1);
    init_pair(2, COLOR_YELLOW, -1);
  }
  ~Terminal() { endwin(); }
  Terminal(const Terminal&) = delete;
  Terminal& operator=(const Terminal&) = delete;

  void draw(Screen& screen) const {
    int rows = 0, columns = 0;
    getmaxyx(stdscr, rows, columns);
    erase();
    int y = 0;
    // The last column stays empty, because writing the last cell of the last line scrolls some
    // terminals.
    for (const auto& line :
         screen.render(static_cast<std::size_t>(rows),
                       static_cast<std::size_t>(std::max(1, columns - 1)), net::Clock::now())) {
      const auto look = attribute(line.look);
      attron(look);
      mvaddstr(y++, 0, line.text.c_str());
      attroff(look);
    }
    refresh();
  }

 private:
  attr_t attribute(Screen::Line::Look look) const {
    using Look = Screen::Line::Look;
    switch (look) {
      case Look::Title:
        return has_colors_ ? COLOR_PAIR(1) | A_BOLD : A_BOLD;
      case Look::Header:
        return A_UNDERLINE;
      case Look::Selected:
        return A_REVERSE;
      case Look::Warning:
        return has_colors_ ? COLOR_PAIR(2) | A_BOLD : A_BOLD;
      case Look::Plain:
        return A_NORMAL;
    }
    return A_NORMAL;
  }
  bool has_colors_ = false;
};

void press(Screen& screen, int c) {
  const bool typing = screen.typing();
  switch (c) {
    case KEY_UP:
      return screen.press(Key::Up);
    case KEY_DOWN:
      return screen.press(Key::Down);
    case KEY_PPAGE:
      return screen.press(Key::PageUp);
    case KEY_NPAGE:
      return screen.press(Key::PageDown);
    case KEY_HOME:
      return screen.press(Key::Home);
    case KEY_END:
      return screen.press(Key::End);
    case KEY_ENTER:
    case '\n':
    case '\r':
      return screen.press(Key::Accept);
    case kEscapeKey:
      return screen.press(Key::Cancel);
    case KEY_BACKSPACE:
    case 127:
    case 8:
      return screen.press(Key::Erase);
    case 3:
      return screen.press(Key::Quit);
    default:
      break;
  }
  if (typing) return screen.press(Key::Other, c >= 32 && c < 256 ? static_cast<char>(c) : 0);
  switch (c) {
    case 'k':
      return screen.press(Key::Up);
    case 'j':
      return screen.press(Key::Down);
    case '\t':
      return screen.press(Key::NextView);
    case '1':
      return screen.press(Key::View1);
    case '2':
      return screen.press(Key::View2);
    case '3':
      return screen.press(Key::View3);
    case '4':
      return screen.press(Key::View4);
    case 's':
      return screen.press(Key::NextSort);
    case 'r':
      return screen.press(Key::Reverse);
    case '/':
      return screen.press(Key::Search);
    case 'q':
      return screen.press(Key::Quit);
    default:
      return screen.press(Key::Other);
  }
}
}  // namespace

int run_console(const std::vector<net::Endpoint>& controllers, net::Duration timeout,
                net::Duration every) {
  if (!isatty(STDIN_FILENO) || !isatty(STDOUT_FILENO)) {
    std::cerr << "console: standard input and output must be a terminal; `limemast report --json` "
                 "is for scripts\n";
    return 1;
  }
  net::UvRuntime runtime(16);
  HttpApi api(runtime, controllers, timeout);
  Screen screen;
  Terminal terminal;
  std::function<void()> read = [&] {
    FetchOptions options;
    options.history = false;
    fetch(api, options, runtime.wall(), nullptr,
          [&](std::shared_ptr<Snapshot> snapshot, const std::string& error) {
            if (snapshot)
              screen.show(std::move(snapshot), runtime.now());
            else
              screen.set_error(error);
            terminal.draw(screen);
            runtime.after(every, read);
          });
  };
  // Redraws every second, so that the displayed ages advance between two answers.
  std::function<void()> redraw = [&] {
    terminal.draw(screen);
    runtime.after(std::chrono::seconds(1), redraw);
  };
  struct Context {
    Screen& screen;
    Terminal& terminal;
    uv_loop_t* loop;
  } context{screen, terminal, runtime.loop()};
  auto handle_keys = [](Context* c) {
    for (int key; (key = getch()) != ERR;) {
      if (key == kRedrawKey)
        clearok(stdscr, TRUE);
      else if (key != KEY_RESIZE)
        press(c->screen, key);
    }
    if (c->screen.quit_requested()) return uv_stop(c->loop);
    c->terminal.draw(c->screen);
  };
  uv_poll_t keys{};
  uv_poll_init(runtime.loop(), &keys, STDIN_FILENO);
  keys.data = &context;
  static auto process_input = +handle_keys;
  uv_poll_start(&keys, UV_READABLE,
                [](uv_poll_t* p, int, int) { process_input(static_cast<Context*>(p->data)); });
  // ncurses reports a change of the terminal's size when a key is read.
  uv_signal_t resized{};
  uv_signal_init(runtime.loop(), &resized);
  resized.data = &context;
  uv_signal_start(
      &resized,
      [](uv_signal_t* s, int) {
        // ncurses reads the new size only when the screen is initialized again.
        endwin();
        refresh();
        process_input(static_cast<Context*>(s->data));
      },
      SIGWINCH);
  read();
  redraw();
  runtime.run();
  uv_poll_stop(&keys);
  uv_signal_stop(&resized);
  return 0;
}
}  // namespace limemast::tools
